package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"github.com/kumquatlug/kumquatlug/internal/agent"
	"github.com/kumquatlug/kumquatlug/internal/caller"
	"github.com/kumquatlug/kumquatlug/internal/entry"
	"github.com/kumquatlug/kumquatlug/internal/settings"
	standinengine "github.com/kumquatlug/kumquatlug/internal/standin/engine"
	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
	standinservice "github.com/kumquatlug/kumquatlug/internal/standin/service"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// Names used in the development fleet.
const (
	devModel   = "standin"
	devService = "echo"
	devCaller  = "laptop"
	devZone    = "local"
)

// devSettings are the settings of the development fleet.
type devSettings struct {
	listen, operatorListen string
	logFormat, logLevel    string
	out                    io.Writer
	platform               string
	callerKey              string
	operatorKey            string
}

func newDevCommand() *cobra.Command {
	var s devSettings
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a small fleet in one process, with simulated engines and services",
		Long: `Run a gateway, two engines, one plain service, their agents and the platform's
store, all in one process on loopback. The engines, the service and the store are
simulated. Ctrl-C stops the fleet gracefully.`,
		Args:    cobra.NoArgs,
		Example: "  kumquatlug dev",
	}
	cmd.Flags().StringVar(&s.listen, "listen", "127.0.0.1:8080", "IP:port of the gateway's callers' API")
	cmd.Flags().StringVar(&s.operatorListen, "operator-listen", "127.0.0.1:8081", "IP:port of the gateway's operators' API")
	cmd.Flags().StringVar(&s.logFormat, "log-format", "console", "json or console")
	cmd.Flags().StringVar(&s.logLevel, "log-level", "warn", "debug, info, warn or error")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		c := settings.NewChecker(settings.FromEnvironment(cmd.Flags()))
		c.Address("listen", s.listen)
		c.Address("operator-listen", s.operatorListen)
		c.OneOf("log-format", s.logFormat, "json", "console")
		if err := c.Problems().Err(); err != nil {
			return err
		}
		s.out = cmd.OutOrStdout()
		s.callerKey, s.operatorKey = "klug-"+rand.Text(), "operator-"+rand.Text()
		return s.runFleet(cmd.Context())
	}
	return cmd
}

// runFleet starts simulators, agents and gateway in this order and stops them in
// reverse, so that the gateway can finish its requests while the targets still run.
func (s *devSettings) runFleet(ctx context.Context) error {
	simulatorCtx, stopSimulators := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSimulators()
	sims, err := s.startSimulators(simulatorCtx)
	if err != nil {
		return err
	}
	agentCtx, stopAgents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAgents()
	agents, err := s.startAgents(agentCtx, sims)
	if err != nil {
		return err
	}
	gateway, err := s.newGateway(ctx)
	if err != nil {
		return err
	}
	if err := s.commitInitialConfig(ctx); err != nil {
		return err
	}
	s.printUsage()
	err = gateway.Run(ctx)
	stopAgents()
	agents.Wait()
	stopSimulators()
	sims.servers.Wait()
	return err
}

// simulators are the simulated external systems of the development fleet.
type simulators struct {
	servers         sync.WaitGroup
	engineAddresses []string
	serviceAddress  string
}

func (s *devSettings) startSimulators(ctx context.Context) (*simulators, error) {
	sims := &simulators{}
	start := func(handler http.Handler) (string, error) { return sims.serve(ctx, handler) }
	address, err := start(rowstore.New())
	if err != nil {
		return nil, err
	}
	s.platform = address
	for range 2 {
		address, err := start(standinengine.New(standinengine.Config{Models: []string{devModel}}).Handler())
		if err != nil {
			return nil, err
		}
		sims.engineAddresses = append(sims.engineAddresses, address)
	}
	sims.serviceAddress, err = start(standinservice.New(standinservice.Config{}).Handler())
	return sims, err
}

// serve runs handler on a free loopback port until ctx ends and returns its address.
func (sims *simulators) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: kumquatlug.Minute.Duration()}
	var group run.Group
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	group.Add(func() error { <-ctx.Done(); return ctx.Err() }, func(error) {})
	sims.servers.Go(func() { _ = group.Run() })
	return listener.Addr().String(), nil
}

// startAgents starts an agent for each target.
func (s *devSettings) startAgents(ctx context.Context, sims *simulators) (*sync.WaitGroup, error) {
	var agents sync.WaitGroup
	targets := map[string]agentSettings{
		"engine-1":  {targetURL: "http://" + sims.engineAddresses[0], protocol: string(kumquatlug.ProtocolEngine)},
		"engine-2":  {targetURL: "http://" + sims.engineAddresses[1], protocol: string(kumquatlug.ProtocolEngine)},
		"service-1": {targetURL: "http://" + sims.serviceAddress, protocol: string(kumquatlug.ProtocolService)},
	}
	for name, target := range targets {
		target.nodeSettings = s.nodeSettingsFor(name)
		a, err := newDevAgent(ctx, target)
		if err != nil {
			return nil, err
		}
		agents.Go(func() { _ = a.Run(ctx) })
	}
	return &agents, nil
}

func newDevAgent(ctx context.Context, s agentSettings) (*agent.Agent, error) {
	node, err := s.newNode()
	if err != nil {
		return nil, err
	}
	listener, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := s.newStore(node.clock)
	c := agent.Config{
		Name: s.name, Zone: s.zone, Listener: listener,
		Table: store, Objects: store, VMs: membership.NewRoster(store), Clock: node.clock, Logger: node.logger, Registry: node.registry, Ring: node.ring,
	}
	s.configureTarget(&c)
	return agent.New(c)
}

func (s *devSettings) nodeSettingsFor(name string) nodeSettings {
	return nodeSettings{
		name: name, zone: devZone, platform: s.platform, insecureLoopback: true,
		logFormat: s.logFormat, logLevel: s.logLevel, ringSize: 4096,
	}
}

func (s *devSettings) newGateway(ctx context.Context) (*entry.Entry, error) {
	gatewaySettings := entrySettings{
		nodeSettings: s.nodeSettingsFor("entry-1"), listen: s.listen, peerListen: "127.0.0.1:0", operatorListen: s.operatorListen,
		operatorKeys: []string{"laptop=" + s.operatorKey}, vmListIntervalMs: 500, rolePlanner: plannerStatic, maxBufferedBytes: caller.DefaultMaxTotalBodyBytes,
	}
	node, err := gatewaySettings.newNode()
	if err != nil {
		return nil, err
	}
	c, err := gatewaySettings.config(ctx, node)
	if err != nil {
		return nil, err
	}
	s.listen, s.operatorListen = c.CallerListener.Addr().String(), c.OperatorListener.Addr().String()
	return entry.New(c)
}

// commitInitialConfig commits the first config change: labels, two selectors and a
// client account.
func (s *devSettings) commitInitialConfig(ctx context.Context) error {
	node := s.nodeSettingsFor("dev")
	store := node.newStore(clock.NewMonotonic())
	sets, err := s.initialSets()
	if err != nil {
		return err
	}
	p, err := config.NewProposal(config.ProposalConfig{ID: "dev", Author: devCaller, Sets: sets})
	if err != nil {
		return err
	}
	_, err = config.NewStore(config.StoreConfig{Table: store, Objects: store}).Commit(ctx, p)
	return err
}

func (s *devSettings) initialSets() ([]config.Set, error) {
	var sets []config.Set
	var errs error
	add := func(set config.Set, err error) {
		sets = append(sets, set)
		errs = errors.CombineErrors(errs, err)
	}
	add(config.NewLabelsSet("engine-1", selector.Labels{"pool": "engines"}))
	add(config.NewLabelsSet("engine-2", selector.Labels{"pool": "engines"}))
	add(config.NewLabelsSet("service-1", selector.Labels{"pool": "services"}))
	add(config.NewSelectorSet(selector.Config{
		Name: "engines", Protocol: kumquatlug.ProtocolEngine, Kind: devModel, Role: kumquatlug.RoleBoth, Match: "pool=engines",
	}))
	add(config.NewSelectorSet(selector.Config{
		Name: "services", Protocol: kumquatlug.ProtocolService, Kind: devService, Role: kumquatlug.RoleServe, Match: "pool=services",
	}))
	add(config.NewCallerSet(kumquatlug.CallerConfig{Name: devCaller, KeyHash: kumquatlug.HashKey(s.callerKey)}))
	return sets, errs
}

// printUsage prints the addresses, the keys and example commands.
func (s *devSettings) printUsage() {
	fmt.Fprintf(s.out, `kumquatlug is up: one entry, two engines, one service, on stand-ins.

  callers    http://%[1]s        key %[2]s
  operators  http://%[3]s        key %[4]s

Try:
  curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' \
    -d '{"model":"%[5]s","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"hello"}]}'
  curl -s http://%[1]s/services/%[6]s/postings -H 'Authorization: Bearer %[2]s' \
    -H 'Idempotency-Key: posting-1' -d 'first posting'
  KUMQUATLUG_OPERATOR_KEY=%[4]s go run ./cmd/kumquatlug status --server http://%[3]s

Ctrl-C stops it gracefully.
`, s.listen, s.callerKey, s.operatorListen, s.operatorKey, devModel, devService)
}
