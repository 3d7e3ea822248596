// Package gateway implements a gateway that calls targets directly: it receives client
// requests, watches the operator's config and the worker rows in the platform's store,
// and makes attempts at workers.
//
// It reaches clients, workers and the store through the interfaces of package kumquatlug
// and does not depend on a platform. Decisions are made in packages routes, placement,
// retry, planner and lease. One goroutine serves each request. Further goroutines watch
// the config, watch the workers, send orders to engines, receive messages of peer
// gateways and run periodic maintenance.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routes"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/shutdown"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/usage"
)

// Config configures a [Gateway].
type Config struct {
	// Name is the name of the VM, Zone its data centre.
	Name string
	Zone string
	// VM identifies the machine that the process runs on: no two processes with the same
	// value run at the same time.
	VM string
	// Incarnation is unique to this start of the process.
	Incarnation string
	// ClientListener and ControlListener are the listeners for clients and for the load balancer.
	ClientListener  net.Listener
	ControlListener net.Listener
	// ReadyPath is the path of the readiness check on ControlListener.
	ReadyPath string
	// MetricsListener is the listener of the metrics endpoint, nil for none.
	MetricsListener net.Listener

	// Ingress decodes client requests and writes responses, Workers calls workers, and
	// RowDecoder decodes the rows of the operator and of the workers.
	Ingress    kumquatlug.Ingress
	Workers    kumquatlug.WorkerClient
	RowDecoder kumquatlug.RowDecoder
	// Table is the platform's store, ChangeFeed its change feed.
	Table      kumquatlug.Table
	ChangeFeed kumquatlug.ChangeFeed
	// Peers exchanges messages with peer gateways, nil if gateways do not communicate.
	Peers kumquatlug.GatewayLink
	// PeerClient hands requests off to peer gateways, HandoffListener receives those of
	// peers; nil if requests are not handed off.
	PeerClient      kumquatlug.PeerClient
	HandoffListener net.Listener
	// ConfigTable and ConfigKey identify the operator's row, MemberTable holds the rows
	// of the workers.
	ConfigTable, ConfigKey, MemberTable string
	// CrashTable is the table through which gateways share crash records.
	CrashTable string
	// PlanTable is the table in which the lease holder publishes which engines are about
	// to change their role.
	PlanTable string

	// Clock is a monotonic clock.
	Clock kumquatlug.Clock
	// BootClock is a clock that also counts the time in which the VM was suspended. Leases
	// use it.
	BootClock kumquatlug.Clock
	// GracePeriod is the time in ms from the stop signal to the kill.
	GracePeriod kumquatlug.Millis
	// WorkerGracePeriod is the minimum time in ms for which a worker still serves after it has
	// announced its shutdown.
	WorkerGracePeriod kumquatlug.Millis
	// HandoverDelay is the minimum time in ms between orders of two lease holders to one
	// engine.
	HandoverDelay kumquatlug.Millis
	// MaxConfigDelay is the maximum time in ms in which a config must come into force. A
	// gateway that has had no confirmation from the store for longer can't determine
	// that a key or a route does not exist. Zero means no maximum.
	MaxConfigDelay kumquatlug.Millis
	// FailClosed makes a gateway that has had no confirmation from the store for
	// MaxRevocationDelay, in ms, refuse all requests that need a key.
	FailClosed         bool
	MaxRevocationDelay kumquatlug.Millis
	// RetryBudget configures the retry budget that all gateways share per service.
	RetryBudget retry.SharedBudgetConfig
	// MaxBodyBytes bounds the total size in bytes of the bodies of all requests in flight,
	// including those that are still arriving. Without it, a few dozen large bodies exhaust the
	// memory of the process.
	MaxBodyBytes int64
	// MaxBufferBytes bounds the total size in bytes of what is buffered of responses.
	MaxBufferBytes int64
	// LinkBytesPerMs is the rate of this machine's network link, zero if it is not known.
	LinkBytesPerMs float64
	// LeaderActions receives the calls that the leader makes on behalf of all gateways, nil if
	// there are none.
	LeaderActions kumquatlug.LeaderActions
	// UsageWindows divides time into the windows in which requests are counted per
	// account. With a zero Span nothing is reported. WallClock returns the time since
	// 1970, without jumps.
	UsageWindows usage.Windows
	WallClock    kumquatlug.Clock
	// ScalingEnabled enables ordering the number of workers.
	ScalingEnabled bool
	// PrefillShare is the share of engines that only run prefill, 0 to 1.
	PrefillShare float64
	// Placement configures the choice of workers. Zone and Health are set by the
	// gateway.
	Placement placement.Config
	// CloseIdle closes idle connections to workers that no longer exist.
	CloseIdle func(keep func(address string) bool)

	// Logger receives the log lines, Registry the metrics.
	Logger   *zap.Logger
	Registry *prometheus.Registry
}

// Gateway serves client requests. Create one with [New].
type Gateway struct {
	c       Config
	table   atomic.Pointer[routes.Table]
	members atomic.Pointer[memberSet]
	// publishMu is held while a new set of members is applied. It guards configuredServices, the names of the services
	// that a config has had.
	publishMu          sync.Mutex
	configuredServices map[string]bool
	scheduler          *scheduler
	// link schedules request bodies on this gateway's link, nil if the link is fast.
	link    *linkQueue
	metrics *metrics
	// speedMetrics are the metrics of worker speeds, speedSending bounds how many speeds are
	// sent to peers.
	speedMetrics *speedMetrics
	speedSending speedSending
	// presenceAnswers holds an element for each question of a peer whether a worker is there.
	presenceAnswers chan struct{}
	crashes         *crashes
	// shuttingDownWorkers are the workers that announced their shutdown.
	shuttingDownWorkers *shuttingDownWorkers
	// exitAt is when this gateway exits, zero while it is not shutting down.
	exitAt atomic.Int64
	// peersKnown says that the rows of all gateways have been read since the start.
	peersKnown atomic.Bool
	inFlight   atomic.Int64
	// connections are those of clients.
	connections *connections
	// startedAt is when the gateway was created, by Clock.
	startedAt kumquatlug.Millis
	// configConfirmedAt is when the store last confirmed the config in force, by BootClock.
	configConfirmedAt atomic.Int64
	// adoptMu is held while a config is applied. configFetch gets configs from peer
	// gateways.
	adoptMu     sync.Mutex
	configFetch configFetch
	// usage counts the requests started here. term is the lease that this gateway holds.
	usage usageState
	// usageError belongs to the goroutine that reports usage.
	usageError usageError
	accounts   accountStats
	term       atomic.Pointer[lease.Term]
	bodies     *bodyMemory
	// bodiesEnd ends when no body can arrive in time for its request to be served.
	bodiesEnd context.Context
	endBodies context.CancelFunc
	// bufferBytes is the total size reserved for buffered responses.
	bufferBytes atomic.Int64
	// shares are the tables whose reads are shared with other gateways.
	shares *tableShares
	// unusedCaches are KV caches to be released.
	unusedCaches chan kumquatlug.KVCacheRef
	// handoffs is the state of requests handed off between gateways. handoffServer receives
	// those of peers, nil if there is no listener for them.
	handoffs      *handoffs
	handoffServer *http.Server
	retryClaims   *retryClaims
	// countMu serializes the reads of the rows of all gateways.
	countMu sync.Mutex
	// streamVersions knows at which version the streams of clients began.
	streamVersions *streamVersions
}

// maxUnusedCaches bounds the caches that wait to be released. An engine drops others by
// itself some seconds later.
const maxUnusedCaches = 256

// New returns a gateway with this config. It serves once [Gateway.Run] is called.
func New(c Config) *Gateway {
	shares := newTableShares(&c)
	g := &Gateway{
		c: c, scheduler: newScheduler(c), link: newLinkQueue(c), metrics: newMetrics(c.Registry), speedMetrics: newSpeedMetrics(c.Registry),
		shuttingDownWorkers: newShuttingDownWorkers(), unusedCaches: make(chan kumquatlug.KVCacheRef, maxUnusedCaches),
		handoffs: newHandoffs(c), bodies: newBodyMemory(c.MaxBodyBytes, c.Registry),
		connections: newConnections(c.Clock),
	}
	g.scheduler.slots.outcomes = newSlotMetrics(c.Registry)
	g.bodiesEnd, g.endBodies = context.WithCancel(context.Background())
	g.retryClaims = newRetryClaims(g)
	g.configuredServices = map[string]bool{}
	g.presenceAnswers = make(chan struct{}, maxPresenceAnswers)
	g.crashes = newCrashes(g)
	g.streamVersions = newStreamVersions(g)
	g.startedAt = c.Clock.Now()
	g.shares = shares
	g.members.Store(&memberSet{})
	g.usage.counter = usage.NewCounter(c.UsageWindows)
	if c.HandoffListener != nil {
		g.handoffServer = g.newHandoffServer()
	}
	return g
}

// Parameters of the HTTP servers.
const (
	// headerTimeout and idleTimeout apply until the operator's limits are known, and
	// equal the operator's usual ones.
	headerTimeout = 3 * kumquatlug.Second
	// idleTimeout is far longer than clients leave a connection idle: closing a
	// connection that a client is about to use fails that client's request.
	idleTimeout = 30 * kumquatlug.Second
	// maxHeaderBytes bounds the size of the headers of a request.
	maxHeaderBytes = 16 << 10
)

// Run serves until ctx ends, then completes the requests in flight. It returns the first
// error of a listener or of Peers, nil after a shutdown.
func (g *Gateway) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	loop := func(f func(context.Context)) {
		group.Add(func() error { f(work); return nil }, func(error) { cancel() })
	}
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(g.c.Logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
		ConnState: g.connections.stateChanged, ConnContext: g.connections.connContext,
	}
	group.Add(func() error { return g.serveUntil(ctx, server) }, func(error) { _ = server.Close() })
	if g.handoffServer != nil {
		group.Add(func() error { return g.serveHandoffs(work) }, func(error) {
			cancel()
			_ = g.handoffServer.Close()
		})
	}
	if g.handoffs.active {
		loop(g.probeHandoffs)
	}
	control := &http.Server{Handler: g.controlHandler(), ReadHeaderTimeout: headerTimeout.Duration()}
	group.Add(func() error { return ignoreServerClosed(control.Serve(g.c.ControlListener)) }, func(error) { _ = control.Close() })
	if g.c.MetricsListener != nil {
		m := &http.Server{Handler: g.metrics.handler(g.c.Registry), ReadHeaderTimeout: headerTimeout.Duration()}
		group.Add(func() error { return ignoreServerClosed(m.Serve(g.c.MetricsListener)) }, func(error) { _ = m.Close() })
	}
	loop(g.watchConfig)
	loop(g.watchMembers)
	loop(g.runController)
	loop(g.runMaintenance)
	loop(g.releaseCaches)
	loop(g.runTimers)
	loop(g.publishCrashes)
	loop(g.watchCrashes)
	loop(g.watchPlans)
	loop(g.streamVersions.storeRecords)
	if g.reportsUsage() {
		loop(g.writeTallies)
		loop(g.reportUsage)
	}
	if g.c.ScalingEnabled {
		loop(g.scaleServices)
	}
	if g.c.Peers != nil {
		group.Add(func() error { return g.c.Peers.Receive(work, g) }, func(error) { cancel() })
	}
	g.c.Logger.Info("started", zap.String("zone", g.c.Zone), zap.String("incarnation", g.c.Incarnation))
	err := group.Run()
	g.c.Logger.Info("stopped", logs.Error(err))
	return err
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Parameters of a graceful shutdown.
const (
	// balancerLag is how long the load balancer keeps sending new connections after this
	// gateway reports that it is not ready: two checks one second apart, and some time
	// for the responses. If this is the only gateway of its data centre, the load
	// balancer sends to it until it exits.
	balancerLag = 2600 * kumquatlug.Millis(1)
	// exitMargin is the part of the grace period that is reserved for the exit.
	exitMargin = 500 * kumquatlug.Millis(1)
	// idlePollInterval is how often a gateway that is shutting down checks whether it is
	// idle.
	idlePollInterval = 100 * kumquatlug.Millis(1)
)

// serveUntil serves clients until ctx ends, and then for the rest of the grace period
// while clients may still connect. Closing the listener at once would reset connections
// that are being established, and clients without another gateway nearby would not be
// served until the restart. Requests that can't complete in time are refused meanwhile,
// see [inflight.outlastsShutdown].
func (g *Gateway) serveUntil(ctx context.Context, server *http.Server) error {
	failed := make(chan error, 1)
	go func() { failed <- ignoreServerClosed(server.Serve(g.connections.listener(g.c.ClientListener))) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	start := g.c.Clock.Now()
	exit := start + g.c.GracePeriod - exitMargin
	g.exitAt.Store(int64(exit))
	g.stopCoordinating()
	g.logStopping("stopping", zap.Int64("grace_ms", int64(g.c.GracePeriod)))
	plan := shutdown.NewPlan(shutdown.PlanConfig{StoppedAt: start, ExitAt: exit, MinServeTime: balancerLag, PollInterval: idlePollInterval})
	g.connections.stop(plan)
	if err := g.drain(exit, failed); err != nil {
		return err
	}
	if inFlight := g.inFlight.Load(); inFlight > 0 {
		g.c.Logger.Warn("stopped with requests in flight", zap.Int64("in_hand", inFlight))
	}
	g.logStopping("exiting", zap.Int64("exit_ms", int64(exit-g.c.Clock.Now())))
	g.connections.logUnanswered(g.c.Logger)
	// As ctx has ended, this closes the idle connections and doesn't wait for others. A request that
	// came on one of them now would be cut by the exit.
	_ = server.Shutdown(ctx)
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(exit-g.c.Clock.Now(), 0).Duration())
	defer cancel()
	g.shutdownHandoffs(last)
	if g.reportsUsage() {
		g.writeTally(context.WithoutCancel(ctx), finalTallyTimeout, true, true)
	}
	return nil
}

// drain serves clients until the exit of a gateway that is shutting down. served receives the result
// of the server.
//
// The shutdown of net/http can't be used: it closes each connection whose head arrives after it has
// begun without an answer.
func (g *Gateway) drain(exit kumquatlug.Millis, served <-chan error) error {
	for step := shutdown.Serve; step != shutdown.Exit; {
		select {
		case err := <-served:
			return err
		case <-time.After(min(idlePollInterval, max(exit-g.c.Clock.Now(), 0)).Duration()):
		}
		next, latestPoll := g.connections.next(int(g.inFlight.Load()))
		if step == shutdown.Serve && next != step {
			g.logStopping("no more connections are accepted", zap.Int64("exit_ms", int64(exit-g.c.Clock.Now())), zap.Int64("latest_poll_ms", int64(latestPoll)))
			if err := g.c.ClientListener.Close(); err != nil {
				g.c.Logger.Warn("failed to close the listener of clients", logs.Error(err))
			}
			// The connections that were accepted before are known afterwards.
			if err := <-served; err != nil && !errors.Is(err, net.ErrClosed) {
				return err
			}
			served = nil
		}
		if step = next; step == shutdown.Refuse || step == shutdown.Exit {
			g.refusePartial()
		}
	}
	return nil
}

// refusePartial refuses the requests that have arrived in part.
func (g *Gateway) refusePartial() {
	g.endBodies()
	refused := g.connections.refuseHeads(g.c.Ingress, refusal("stop", reasonStopping, http.StatusServiceUnavailable, shutdownRetryAfter))
	if refused > 0 {
		g.metrics.responses.WithLabelValues(reasonStopping).Add(float64(refused))
		g.c.Logger.Info("requests with partial heads refused", zap.Int("requests", refused))
	}
}

// logStopping logs a step of the shutdown with what is in flight.
func (g *Gateway) logStopping(step string, fields ...zap.Field) {
	g.c.Logger.Info(step, append(append(fields, zap.Int64("in_hand", g.inFlight.Load())), g.connections.fields()...)...)
}

// shuttingDown reports whether this gateway has received the stop signal.
func (g *Gateway) shuttingDown() bool { return g.exitAt.Load() != 0 }

// ready reports whether this gateway has a config and members, and is not shutting down.
func (g *Gateway) ready() bool {
	return !g.shuttingDown() && g.table.Load() != nil && g.members.Load().loaded && g.crashesLoaded()
}

func (g *Gateway) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.c.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// releaseCaches releases unused KV caches, so that their engines regain the memory.
func (g *Gateway) releaseCaches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case cache := <-g.unusedCaches:
			call, cancel := context.WithTimeout(ctx, cacheReleaseTimeout.Duration())
			if err := g.c.Workers.ReleaseCache(call, cache); err != nil {
				g.c.Logger.Info("failed to release KV cache", zap.String("engine", cache.Engine()), logs.Error(err))
			}
			cancel()
		}
	}
}

func (g *Gateway) releaseCache(k kumquatlug.KVCacheRef) {
	if k.Handle() == "" {
		return
	}
	select {
	case g.unusedCaches <- k:
	default:
		// The engine drops it by itself.
	}
}

// sleep waits for span. It returns false if ctx ends first.
func sleep(ctx context.Context, span kumquatlug.Millis) bool {
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
