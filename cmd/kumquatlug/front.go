package main

import (
	"context"
	"net"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/internal/front"
	"github.com/kumquatlug/kumquatlug/internal/gateway"
	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/internal/peerrequest"
	"github.com/kumquatlug/kumquatlug/internal/settings"
	"github.com/kumquatlug/kumquatlug/internal/signals"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/usage"
	"github.com/kumquatlug/kumquatlug/platform"
)

// frontSettings are the settings of the front command, which runs a gateway on the
// users' platform, that are not in the platform's settings file.
type frontSettings struct {
	metricsListen string
	logLevel      string
	prefillShare  float64
	placement     placement.Config
}

// defaultPrefillShare is the default share of engines that run prefill. With 9,000
// prompt tokens per 2,000 output tokens, prefill takes two thirds of the engine time.
const defaultPrefillShare = 0.667

func (s *frontSettings) bind(flags *pflag.FlagSet) {
	flags.StringVar(&s.metricsListen, "metrics-listen", "", "IP:port of the metrics endpoint; empty for none")
	flags.StringVar(&s.logLevel, "log-level", "info", "debug, info, warn or error")
	flags.Float64Var(&s.prefillShare, "read-part", defaultPrefillShare, "share of engines that run prefill, above 0 and below 1")
	flags.Float64Var(&s.placement.RecomputePenalty, "away-price", 0, "cost of prefilling a shared prefix again, as a multiple of the time it takes; 0 for the default")
	flags.Float64Var(&s.placement.MixedPrefillPenalty, "mixed-price", 0, "cost of a prefill at a decode engine whose slots are all taken, as a multiple of the time it takes; 0 for the default")
	flags.Float64Var(&s.placement.ZonePenaltyMs, "zone-price", 0, "cost of a worker in another data centre, in milliseconds; 0 for the default")
}

func (s *frontSettings) check(problems settings.Problems) settings.Problems {
	c := settings.NewChecker(problems)
	c.Append(platform.CheckSettings())
	if s.metricsListen != "" {
		c.Address("metrics-listen", s.metricsListen)
	}
	c.OneOf("log-level", s.logLevel, "debug", "info", "warn", "error")
	if s.prefillShare <= 0 || s.prefillShare >= 1 {
		c.Add("read-part", "a share, above 0 and below 1", "is out of range")
	}
	for flag, cost := range map[string]float64{
		"away-price": s.placement.RecomputePenalty, "mixed-price": s.placement.MixedPrefillPenalty, "zone-price": s.placement.ZonePenaltyMs,
	} {
		if cost < 0 || cost > maxCost {
			c.Add(flag, "a cost, 0 to 1000", "is out of range")
		}
	}
	return c.Problems()
}

func newFrontCommand(receiver *signals.Receiver) *cobra.Command {
	return newProcessCommand(receiver, &cobra.Command{
		Use:   "front",
		Short: "Run a gateway on the users' platform, which calls workers directly",
		Long: `Run a gateway that accepts client requests and calls the platform's workers
directly. The platform's settings file contains the addresses to listen on and the
address of the platform's store; ` + platform.SettingsVariable + ` holds its path.`,
		Example: `  ` + platform.SettingsVariable + `=/etc/kumquatlug/local.toml kumquatlug front --metrics-listen :9090`,
	}, &frontSettings{})
}

func (s *frontSettings) run(ctx context.Context, hangups <-chan os.Signal) error {
	platformSettings, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(s.logLevel)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	// The platform kills a process that exceeds its memory limit; the garbage
	// collector works harder before that.
	debug.SetMemoryLimit(platformSettings.MemoryBytes * heapLimitPercent / 100)
	writer := logs.NewWriter(os.Stdout)
	stop := make(chan struct{})
	go writer.Run(stop)
	logger := logs.New(writer, level).With(zap.String("node", platformSettings.Name))
	defer writer.Wait(logFlushTimeout.Duration())
	defer close(stop)
	running, exit := context.WithCancel(context.WithoutCancel(ctx))
	defer exit()
	go handleHangups(running, hangups, func() { checkSettings(logger) })
	g, err := s.newGateway(ctx, platformSettings, logger)
	if err != nil {
		return err
	}
	return g.Run(ctx)
}

// Limits of a gateway process.
const (
	// heapLimitPercent is the percentage of the memory limit that the Go runtime
	// may use before the garbage collector works harder. The rest is left for stacks
	// and kernel buffers.
	heapLimitPercent = 70
	// maxBodiesPercent and maxBuffersPercent are the percentages of the memory limit that
	// request bodies and buffered responses may use. Both together leave room below the heap
	// limit for everything else and for what has been freed and not yet collected.
	maxBodiesPercent  = 45
	maxBuffersPercent = 16
	// logFlushTimeout is how long a stopping process waits for its last log lines to
	// be written.
	logFlushTimeout = 200 * kumquatlug.Millis(1)
	// maxIdleWorkerConns, maxIdleControlConns and maxIdleStoreConns are the maximum
	// idle connections per address.
	maxIdleWorkerConns  = 24
	maxIdleControlConns = 2
	maxIdleStoreConns   = 4
	// maxIdlePeerConns is the same for handed-off requests. Each idle connection costs
	// keep-alive probes of 0.1 KB per second.
	maxIdlePeerConns = 8
)

func (s *frontSettings) newGateway(ctx context.Context, platformSettings platform.Settings, logger *zap.Logger) (*gateway.Gateway, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	now := clock.NewMonotonic()
	tooLarge := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kumquatlug_front_oversized_answers_total", Help: "Responses that exceeded a limit of their head or of the body of a call, by peer.",
	}, []string{"peer"})
	registry.MustRegister(tooLarge)
	newPool := func(peer string, maxIdle int) *exchange.Pool {
		return exchange.New(exchange.Config{Clock: now, MaxIdlePerAddress: maxIdle, OnTooLarge: func(address string, err error) {
			tooLarge.WithLabelValues(peer).Inc()
			logger.Warn("response too large", zap.String("peer", peer), zap.String("address", address), logs.Error(err))
		}})
	}
	requestPool, controlPool := newPool("worker", maxIdleWorkerConns), newPool("worker_control", maxIdleControlConns)
	peerPool, storePool := newPool("gateway", maxIdlePeerConns), newPool("store", maxIdleStoreConns)
	store := platform.NewStore(platform.StoreConfig{Address: platformSettings.StoreAddress, Pool: storePool})
	c := gateway.Config{
		Name: platformSettings.Name, VM: platformSettings.Name + "@" + platformSettings.ClientAddress, Zone: platformSettings.Zone, Incarnation: kumquatlug.NewIncarnation(platformSettings.Name), ReadyPath: platform.PathReady,
		Ingress: platform.Ingress{}, RowDecoder: platform.RowDecoder{}, Table: store, ChangeFeed: store,
		Workers:     platform.NewWorkerClient(platform.WorkerClientConfig{Requests: requestPool, Control: controlPool}),
		ConfigTable: platform.ConfigTable, ConfigKey: platform.ConfigKey, MemberTable: platform.MemberTable, CrashTable: platform.CrashTable, PlanTable: platform.PlanTable,
		Clock: now, BootClock: clock.NewBoottime(), GracePeriod: platformSettings.GracePeriod, HandoverDelay: platformSettings.HandoverDelay, WorkerGracePeriod: platformSettings.WorkerGracePeriod,
		RetryBudget:    retry.SharedBudgetConfig{Ratio: platformSettings.RetryRatio, MinRetries: platformSettings.MinRetries, Window: platformSettings.RetryWindow},
		MaxConfigDelay: platformSettings.MaxConfigDelay, FailClosed: platformSettings.FailClosed, MaxRevocationDelay: platformSettings.MaxRevocationDelay,
		MaxBodyBytes: platformSettings.MemoryBytes * maxBodiesPercent / 100, MaxBufferBytes: platformSettings.MemoryBytes * maxBuffersPercent / 100, LinkBytesPerMs: platformSettings.LinkBytesPerMs,
		PrefillShare: s.prefillShare, Placement: s.placement, Logger: logger, Registry: registry,
		CloseIdle: func(keep func(string) bool) {
			requestPool.CloseIdle(keep)
			controlPool.CloseIdle(keep)
			peerPool.CloseIdle(func(string) bool { return true })
			storePool.CloseIdle(func(string) bool { return true })
		},
	}
	if platformSettings.ReportsUsage || platformSettings.ScalingEnabled {
		c.LeaderActions = platform.NewLeaderActions(platformSettings.CloudAddress, newPool("cloud", maxIdleControlConns))
	}
	if platformSettings.ReportsUsage {
		c.UsageWindows = usage.Windows{Span: platformSettings.UsageWindow, MaxReportDelay: platformSettings.MaxUsageReportDelay}
		c.WallClock = clock.NewWall(c.BootClock)
	}
	c.ScalingEnabled = platformSettings.ScalingEnabled
	var err error
	c.PeerClient = peerrequest.NewClient(peerPool)
	if platformSettings.HandoffAddress != "" && platformSettings.PeerAddress != "" {
		if c.HandoffListener, err = exchange.ListenConfig().Listen(ctx, "tcp", platformSettings.HandoffAddress); err != nil {
			return nil, errors.Wrapf(err, "listen for handed-off requests on %s", platformSettings.HandoffAddress)
		}
	}
	if c.Peers, err = newPeerLink(ctx, platformSettings, c, registry); err != nil {
		return nil, err
	}
	for _, listener := range []struct {
		address     string
		destination *net.Listener
	}{{platformSettings.ClientAddress, &c.ClientListener}, {platformSettings.ReadyAddress, &c.ControlListener}, {s.metricsListen, &c.MetricsListener}} {
		if listener.address == "" {
			continue
		}
		if *listener.destination, err = listen(ctx, listener.address); err != nil {
			return nil, err
		}
	}
	return gateway.New(c), nil
}

// newPeerLink opens the UDP socket for messages between gateways. It returns nil if
// the platform's settings have no port for it.
func newPeerLink(ctx context.Context, platformSettings platform.Settings, c gateway.Config, registry *prometheus.Registry) (kumquatlug.GatewayLink, error) {
	if platformSettings.PeerAddress == "" {
		return nil, nil
	}
	conn, err := new(net.ListenConfig).ListenPacket(ctx, "udp4", platformSettings.PeerAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peer gateways on %s", platformSettings.PeerAddress)
	}
	linkConfig := front.Config{Name: c.Name, Incarnation: c.Incarnation, Zone: c.Zone, LinkBytesPerMs: c.LinkBytesPerMs, Conn: conn, Logger: c.Logger, Registry: registry}
	if c.HandoffListener != nil {
		linkConfig.HandoffAddress = platformSettings.HandoffAddress
	}
	return front.New(linkConfig)
}

// checkSettings validates the settings file, which has changed, and logs the result. All
// settings take effect at a restart.
func checkSettings(logger *zap.Logger) {
	_, err := platform.ReadSettings()
	logger.Info("settings read again", zap.Bool("good", err == nil), logs.Error(err))
}
