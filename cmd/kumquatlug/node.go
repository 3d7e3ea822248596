package main

import (
	"context"
	"hash/fnv"
	"net"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/settings"
	"github.com/kumquatlug/kumquatlug/internal/signals"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/platform"
)

// nodeSettings are the settings that the entry and agent commands share.
type nodeSettings struct {
	name, zone                  string
	platform                    string
	certificate, key, authority string
	insecureLoopback            bool
	logFormat, logLevel         string
	ringSize                    int
}

func (s *nodeSettings) bind(flags *pflag.FlagSet) {
	flags.StringVar(&s.name, "name", "", "name of this VM on the list of VMs")
	flags.StringVar(&s.zone, "zone", "", "name of the data centre that this VM is in")
	flags.StringVar(&s.platform, "platform", "", "IP:port of the platform's store")
	flags.StringVar(&s.certificate, "tls-cert", "", "certificate of this process for its peers: PEM text or a file")
	flags.StringVar(&s.key, "tls-key", "", "private key of --tls-cert: PEM text or a file")
	flags.StringVar(&s.authority, "tls-ca", "", "certificate authority of the peers' certificates: PEM text or a file")
	flags.BoolVar(&s.insecureLoopback, "insecure-loopback", false, "use plain HTTP between peers; only allowed with loopback addresses")
	flags.StringVar(&s.logFormat, "log-format", "json", "json or console")
	flags.StringVar(&s.logLevel, "log-level", "info", "debug, info, warn or error")
	flags.IntVar(&s.ringSize, "events", timeline.DefaultSize, "number of events this process keeps for the timeline")
}

// check reports invalid settings to c. The peers map holds the addresses used by
// peers, by flag.
func (s *nodeSettings) check(c *settings.Checker, peers map[string]string) {
	c.Required("name", "the name of this VM", s.name)
	c.Required("zone", "the name of a data centre", s.zone)
	c.Address("platform", s.platform)
	c.OneOf("log-format", s.logFormat, "json", "console")
	c.OneOf("log-level", s.logLevel, "debug", "info", "warn", "error")
	c.Between("events", "events", int64(s.ringSize), 16, 1<<20)
	for flag, address := range peers {
		c.Address(flag, address)
	}
	s.checkKeys(c, peers)
}

func (s *nodeSettings) checkKeys(c *settings.Checker, peers map[string]string) {
	if s.insecureLoopback {
		for flag, address := range peers {
			if host, _, err := net.SplitHostPort(address); err == nil && !net.ParseIP(host).IsLoopback() {
				c.Add(flag, "a loopback IP, as --insecure-loopback is set", "is not on loopback")
			}
		}
		return
	}
	c.Required("tls-cert", "PEM text or a file (or set --insecure-loopback)", s.certificate)
	c.Required("tls-key", "PEM text or a file (or set --insecure-loopback)", s.key)
	c.Required("tls-ca", "PEM text or a file (or set --insecure-loopback)", s.authority)
	if s.certificate == "" || s.key == "" || s.authority == "" {
		return
	}
	if _, err := s.loadKeys(); err != nil {
		c.Add("tls-cert", "a certificate, its key and an authority", err.Error())
	}
}

func (s *nodeSettings) loadKeys() (*peer.Keys, error) {
	if s.insecureLoopback {
		return nil, nil
	}
	return peer.LoadKeys(peer.KeysConfig{Certificate: s.certificate, Key: s.key, Authority: s.authority})
}

// maxIdleTableConns is the maximum number of idle connections to the store, which is
// the number of concurrent reads of a ledger.
const maxIdleTableConns = 16

func (s *nodeSettings) newStore(c kumquatlug.Clock) *platform.Store {
	return platform.NewStore(platform.StoreConfig{
		Address: s.platform, Pool: exchange.New(exchange.Config{Clock: c, MaxIdlePerAddress: maxIdleTableConns}),
	})
}

// randomSeed returns a seed derived from the node's name, so that gateways make
// different random choices.
func (s *nodeSettings) randomSeed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.name))
	return h.Sum64()
}

// processSettings are the settings of a command that runs until ctx ends. It receives a value
// from hangups for each SIGHUP.
type processSettings interface {
	checkableSettings
	run(ctx context.Context, hangups <-chan os.Signal) error
}

// newProcessCommand completes cmd so that it validates and runs c.
func newProcessCommand(s *signals.Receiver, cmd *cobra.Command, c processSettings) *cobra.Command {
	cmd.Args = cobra.NoArgs
	c.bind(cmd.Flags())
	cmd.PersistentPreRun = func(*cobra.Command, []string) { signals.IgnoreBrokenPipe() }
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := c.check(settings.FromEnvironment(cmd.Flags())).Err(); err != nil {
			return err
		}
		return c.run(cmd.Context(), s.Hangups())
	}
	return cmd
}

// handleHangups calls handle for each SIGHUP until ctx ends.
func handleHangups(ctx context.Context, hangups <-chan os.Signal, handle func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			handle()
		}
	}
}

// logHangups logs each SIGHUP until ctx ends: the settings of these processes take effect at a
// restart.
func (n *nodeDeps) logHangups(ctx context.Context, hangups <-chan os.Signal) {
	handleHangups(ctx, hangups, func() { n.logger.Info("SIGHUP received, settings take effect at a restart") })
}

// nodeDeps holds the dependencies that gateway and agent processes share.
type nodeDeps struct {
	keys     *peer.Keys
	logger   *zap.Logger
	registry *prometheus.Registry
	ring     *timeline.Ring
	clock    *clock.Monotonic
}

func (s *nodeSettings) newNode() (*nodeDeps, error) {
	keys, err := s.loadKeys()
	if err != nil {
		return nil, err
	}
	logger, err := newLogger(s.logFormat, s.logLevel)
	if err != nil {
		return nil, err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return &nodeDeps{
		keys: keys, logger: logger.With(zap.String("node", s.name)), registry: registry,
		ring: timeline.NewRing(s.name, s.ringSize), clock: clock.NewMonotonic(),
	}, nil
}

// newLogger returns a logger to standard output, from which the platform collects
// logs; VMs have no disks.
func newLogger(format, level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(c)
	if format == "console" {
		encoder = zapcore.NewConsoleEncoder(c)
	}
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(os.Stdout), minLevel)), nil
}

// listen opens a TCP listener.
func listen(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	listener, err := c.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}
