package main

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/standin/load"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// pathCostFlags are where the processes of a path are found.
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
		Short: "Measure what the way over entry and agents costs beside calling the engines",
		Long: `Measure what the way over entry and agents costs beside calling the engines.
It starts no process: scripts/path-cost.sh starts them, runs this and ends them.`,
		Example: "  scripts/path-cost.sh",
		Args:    cobra.NoArgs,
	}
	f := cmd.Flags()
	f.StringVar(&c.Entry, "entry", "", "the callers' API, as in http://127.0.0.1:8080")
	f.StringVar(&c.Key, "key", "", "a caller's key")
	f.StringVar(&flags.operatorURL, "operators", "", "the entry's operators' address, as in http://127.0.0.1:8081")
	f.StringArrayVar(&flags.agentAddresses, "agent", nil, "IP:port of an agent; may be repeated")
	f.StringVar(&flags.keys.Certificate, "tls-cert", "", "certificate to read agents' metrics with")
	f.StringVar(&flags.keys.Key, "tls-key", "", "the key of --tls-cert")
	f.StringVar(&flags.keys.Authority, "tls-ca", "", "the authority of agents' certificates")
	f.BoolVar(&flags.insecure, "insecure-loopback", false, "agents speak plainly")
	f.StringArrayVar(&c.Stamped, "stamped", nil, "an engine of the model \""+load.StampedModel+"\", started with --stamped; may be repeated")
	f.StringArrayVar(&c.Fast, "fast", nil, "an engine of the model \""+load.FastModel+"\"; may be repeated")
	f.IntVar(&c.Streams, "streams", 1000, "streams open at a time")
	f.IntVar(&c.Tokens, "tokens", 100, "tokens of a stream")
	millisVar(cmd, &c.TokenTime, "token-time", 29, "decode time of the stamping engines")
	millisVar(cmd, &c.Span, "span", 5*kumquatlug.Second, "how long streams are begun, each way")
	millisVar(cmd, &c.BurstSpan, "burst-span", 1500, "length of a burst")
	f.IntVar(&c.BurstRounds, "burst-rounds", 2, "bursts each way")
	f.IntVar(&c.BurstTokens, "burst-tokens", 50, "tokens of an answer in bursts")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var err error
		if c.Metrics, err = flags.processes(); err != nil {
			return err
		}
		cost, err := load.MeasurePath(cmd.Context(), c)
		if err != nil {
			return err
		}
		if err := cost.WriteTable(cmd.OutOrStdout()); err != nil {
			return err
		}
		if n := cost.Broken(); n > 0 {
			return errors.Newf("%d answers were wrong or cut", n)
		}
		return nil
	}
	return cmd
}

// processes returns the entry and the agents as they are asked for metrics.
func (f *pathCostFlags) processes() ([]load.Process, error) {
	var keys *peer.Keys
	if !f.insecure {
		var err error
		if keys, err = peer.LoadKeys(f.keys); err != nil {
			return nil, err
		}
	}
	processes := []load.Process{{Name: "entry", URL: f.operatorURL + "/metrics", Client: http.DefaultClient}}
	client := peer.NewDialer(keys).Work()
	for _, address := range f.agentAddresses {
		processes = append(processes, load.Process{Name: "agents", URL: keys.Scheme() + "://" + address + "/metrics", Client: client})
	}
	return processes, nil
}
