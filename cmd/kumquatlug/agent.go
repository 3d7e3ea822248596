package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/kumquatlug/kumquatlug/internal/agent"
	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/service"
	"github.com/kumquatlug/kumquatlug/internal/settings"
	"github.com/kumquatlug/kumquatlug/internal/signals"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
)

// agentSettings are the settings of the agent command.
type agentSettings struct {
	nodeSettings
	listen             string
	advertise          string
	targetURL          string
	protocol           string
	healthPath         string
	checksFencingToken bool
}

func (s *agentSettings) bind(flags *pflag.FlagSet) {
	s.nodeSettings.bind(flags)
	flags.StringVar(&s.listen, "listen", "127.0.0.1:8090", "IP:port on which this agent accepts gateways; only one agent per VM can use it")
	flags.StringVar(&s.advertise, "advertise", "", "IP:port announced to gateways; empty for the address of --listen")
	flags.StringVar(&s.targetURL, "target-url", "", "URL of the target on this VM")
	flags.StringVar(&s.protocol, "protocol", string(kumquatlug.ProtocolEngine), "engine or service")
	flags.StringVar(&s.healthPath, "health-path", "/health", "path that responds with 2xx while the target is healthy")
	flags.BoolVar(&s.checksFencingToken, "target-checks-fence", false, "the engine itself rejects orders with a stale fencing token")
}

func (s *agentSettings) check(problems settings.Problems) settings.Problems {
	c := settings.NewChecker(problems)
	s.nodeSettings.check(c, map[string]string{"listen": s.listen})
	if s.advertise != "" {
		c.Address("advertise", s.advertise)
	}
	c.URL("target-url", s.targetURL)
	c.OneOf("protocol", s.protocol, string(kumquatlug.ProtocolEngine), string(kumquatlug.ProtocolService))
	if s.healthPath == "" || s.healthPath[0] != '/' {
		c.Add("health-path", "a path that starts with /", "does not start with /")
	}
	return c.Problems()
}

func newAgentCommand(receiver *signals.Receiver) *cobra.Command {
	return newProcessCommand(receiver, &cobra.Command{
		Use:   "agent",
		Short: "Run an agent, the process next to a target",
		Example: `  kumquatlug agent --name t1 --zone a --platform 10.0.0.9:7000 --listen 10.0.0.7:8090 \
    --target-url http://127.0.0.1:8000 --protocol engine --tls-cert agent.pem --tls-key agent.key --tls-ca ca.pem`,
	}, &agentSettings{})
}

func (s *agentSettings) run(ctx context.Context, hangups <-chan os.Signal) error {
	node, err := s.newNode()
	if err != nil {
		return err
	}
	running, exit := context.WithCancel(context.WithoutCancel(ctx))
	defer exit()
	go node.logHangups(running, hangups)
	listener, err := listen(ctx, s.listen)
	if err != nil {
		return err
	}
	store := s.newStore(node.clock)
	config := agent.Config{
		Name: s.name, Zone: s.zone, Listener: listener, Keys: node.keys, ChecksFence: s.checksFencingToken,
		Table: store, Objects: store, VMs: membership.NewRoster(store), Address: s.advertise, Clock: node.clock, Logger: node.logger, Registry: node.registry, Ring: node.ring,
	}
	s.configureTarget(&config)
	a, err := agent.New(config)
	if err != nil {
		return err
	}
	return a.Run(ctx)
}

func (s *agentSettings) configureTarget(c *agent.Config) {
	target := service.Config{URL: s.targetURL, HealthPath: s.healthPath}
	if s.protocol == string(kumquatlug.ProtocolEngine) {
		c.Engine = engine.New(target)
		c.Target = c.Engine
		return
	}
	c.Target = service.New(target)
}
