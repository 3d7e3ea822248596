package main

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/standin/load"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// pathCostFlags locate the processes whose metrics are read, and hold the keys for
// their connections.
type pathCostFlags struct {
	operatorURL    string
	agentAddresses []string
	keys           peer.KeysConfig
	insecure       bool
}

func newPathCostCommand() *cobra.Command {
	var c load.PathConfig
	var flags pathCostFlags
	cmd := &cobra.Command{
		Use:   "path-cost",
		Short: "Measure the overhead of gateway and agents compared with calling engines directly",
		Long: `Measure the overhead of gateway and agents compared with calling engines directly.
The command starts no processes: scripts/path-cost.sh starts them, runs this command
and stops them.`,
		Example: "  scripts/path-cost.sh",
		Args:    cobra.NoArgs,
	}
	f := cmd.Flags()
	f.StringVar(&c.GatewayURL, "entry", "", "base URL of the gateway's callers' API, such as http://127.0.0.1:8080")
	f.StringVar(&c.Key, "key", "", "API key of a caller")
	f.StringVar(&flags.operatorURL, "operators", "", "base URL of the gateway's operators' API, such as http://127.0.0.1:8081")
	f.StringArrayVar(&flags.agentAddresses, "agent", nil, "IP:port of an agent; may be repeated")
	f.StringVar(&flags.keys.Certificate, "tls-cert", "", "client certificate for reading the agents' metrics")
	f.StringVar(&flags.keys.Key, "tls-key", "", "private key of --tls-cert")
	f.StringVar(&flags.keys.Authority, "tls-ca", "", "certificate authority of the agents' certificates")
	f.BoolVar(&flags.insecure, "insecure-loopback", false, "agents use plain HTTP without TLS")
	f.StringArrayVar(&c.StampedEngines, "stamped", nil, "URL of an engine that serves the model \""+load.StampedModel+"\", started with --stamped; may be repeated")
	f.StringArrayVar(&c.FastEngines, "fast", nil, "URL of an engine that serves the model \""+load.FastModel+"\"; may be repeated")
	f.IntVar(&c.Streams, "streams", 1000, "number of concurrent streams")
	f.IntVar(&c.Tokens, "tokens", 100, "length of a stream, in tokens")
	millisVar(cmd, &c.TokenTime, "token-time", 29, "decode time per token of the engines started with --stamped")
	millisVar(cmd, &c.StreamDuration, "span", 5*kumquatlug.Second, "time during which new streams are started, per path")
	millisVar(cmd, &c.BurstDuration, "burst-span", 1500, "duration of a burst")
	f.IntVar(&c.BurstRounds, "burst-rounds", 2, "number of bursts per path")
	f.IntVar(&c.BurstTokens, "burst-tokens", 50, "length of a response in bursts, in tokens")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var err error
		if c.Processes, err = flags.processes(); err != nil {
			return err
		}
		cost, err := load.MeasurePath(cmd.Context(), c)
		if err != nil {
			return err
		}
		if err := cost.WriteTable(cmd.OutOrStdout()); err != nil {
			return err
		}
		if n := cost.Invalid(); n > 0 {
			return errors.Newf("%d responses were wrong or truncated", n)
		}
		return nil
	}
	return cmd
}

// processes returns the metrics endpoints of the gateway and the agents.
func (f *pathCostFlags) processes() ([]load.Process, error) {
	var keys *peer.Keys
	if !f.insecure {
		var err error
		if keys, err = peer.LoadKeys(f.keys); err != nil {
			return nil, err
		}
	}
	processes := []load.Process{{Name: "entry", URL: f.operatorURL + "/metrics", Client: http.DefaultClient}}
	client := peer.NewDialer(keys).WorkClient()
	for _, address := range f.agentAddresses {
		processes = append(processes, load.Process{Name: "agents", URL: keys.Scheme() + "://" + address + "/metrics", Client: client})
	}
	return processes, nil
}
