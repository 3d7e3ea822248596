// Package gateway is a front that calls targets directly: it takes requests of
// clients, follows the operator's config and the members in the platform's
// store, and makes attempts at workers.
//
// It speaks to clients, workers and the store through the interfaces of package
// kumquatlug and knows none of their names. What it decides lies in packages
// routes, placement, retry, planner and lease. One goroutine serves each
// request; one each follows the config, follows the members, gives orders to
// engines, hears other fronts and keeps house.
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
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/usage"
)

// Config is what a [Gateway] is made of.
type Config struct {
	// Name is the VM's name, Zone its data centre.
	Name string
	Zone string
	// VM names the machine that the process runs on: no two processes with this
	// name run at one time.
	VM string
	// Incarnation is unique to this start of the process.
	Incarnation string
	// Clients and Control are the listeners for clients and for the balancer.
	Clients net.Listener
	Control net.Listener
	// ReadyPath is what the balancer asks on Control.
	ReadyPath string
	// Metrics serves the metrics, nil for nobody.
	Metrics net.Listener

	Ingress   kumquatlug.Ingress
	Workers   kumquatlug.Workers
	Directory kumquatlug.Directory
	Table     kumquatlug.Table
	Feed      kumquatlug.Feed
	// Fronts reaches the other fronts, nil where each goes by itself.
	Fronts kumquatlug.FrontLink
	// ConfigTable and ConfigKey name the operator's row, MemberTable the
	// workers' rows.
	ConfigTable, ConfigKey, MemberTable string
	// CrashTable is the table in which fronts tell each other of crashes.
	CrashTable string
	// PlanTable is the table in which the front that gives orders tells the
	// others which engines change their role.
	PlanTable string

	Clock kumquatlug.Clock
	// Awake is a clock that also counts the time in which the VM was suspended;
	// leases go by it.
	Awake kumquatlug.Clock
	// Grace is the span from the order to stop to the kill.
	Grace kumquatlug.Millis
	// LeaveSpan is how long a worker that said that it leaves serves on at least.
	LeaveSpan kumquatlug.Millis
	// OrderTurn is the least time between orders of two holders to one engine.
	OrderTurn kumquatlug.Millis
	// ConfigSpan is how long a config may take to come into force. A front that has
	// not heard from the store for longer can't tell that a key or a route is not
	// there. Zero for no bound.
	ConfigSpan kumquatlug.Millis
	// FailClosed says that a front that has not heard from the store for RevokeSpan
	// serves nobody by a key.
	FailClosed bool
	RevokeSpan kumquatlug.Millis
	// Repeats bounds the repeats of all fronts to one service.
	Repeats retry.SharedConfig
	// MaxBodies bounds the bodies of all requests in hand together, in bytes;
	// without it a few hundred large ones end the process for want of memory.
	MaxBodies int64
	// Duties takes what the holder of the lease does for all, nil where there is nothing.
	Duties kumquatlug.Duties
	// UsageWindows cut time for the counts of requests by account; without a span none
	// are reported. Wall shows the time since 1970 without jumps.
	UsageWindows usage.Windows
	Wall         kumquatlug.Clock
	// Scales says that the numbers of workers are ordered.
	Scales bool
	// ReadPart is the part of the engines that read prompts apart.
	ReadPart float64
	// Placement tunes the choice of workers; Zone and Health are set here.
	Placement placement.Config
	// Sweep closes idle connections to workers that are gone.
	Sweep func(keep func(address string) bool)

	Logger   *zap.Logger
	Registry *prometheus.Registry
}

// Gateway is one front.
type Gateway struct {
	c       Config
	table   atomic.Pointer[routes.Table]
	members atomic.Pointer[memberSet]
	// publishMu is held while members are put in force.
	publishMu sync.Mutex
	scheduler *scheduler
	metrics   *metrics
	crashes   *crashes
	// draining are the workers that said that they leave.
	draining *drainingWorkers
	// exitAt is when a front that was told to stop ends, zero for the others.
	exitAt   atomic.Int64
	inFlight atomic.Int64
	// configConfirmedAt is when the store last told what config is in force, by Awake.
	configConfirmedAt atomic.Int64
	// adoptMu is held while a config is put in force; fetch gets one from other fronts.
	adoptMu     sync.Mutex
	configFetch configFetch
	// usage counts what began here; term is the lease that this front holds.
	usage    usageState
	accounts accountStats
	term     atomic.Pointer[lease.Term]
	// bodyBytes is how many bytes of bodies are in hand.
	bodyBytes atomic.Int64
	// unusedCaches are KV caches that nobody will take.
	unusedCaches chan kumquatlug.KVCache
}

// maxUnusedCaches bounds the caches that wait to be freed; an engine drops them by
// itself some seconds later.
const maxUnusedCaches = 256

// New returns a front.
func New(c Config) *Gateway {
	g := &Gateway{
		c: c, scheduler: newScheduler(c), metrics: newMetrics(c.Registry), crashes: newCrashes(),
		draining: newDrainingWorkers(), unusedCaches: make(chan kumquatlug.KVCache, maxUnusedCaches),
	}
	g.members.Store(&memberSet{})
	g.usage.counter = usage.NewCounter(c.UsageWindows)
	return g
}

// Figures of the HTTP servers.
const (
	// headerTimeout and idleTimeout hold until the operator's limits are known,
	// and are the operator's usual ones.
	headerTimeout = 3 * kumquatlug.Second
	// idleTimeout is far above what clients leave a connection idle: closing one
	// that a client is about to use costs that client its request.
	idleTimeout = 30 * kumquatlug.Second
	// maxHeaderBytes bounds the headers of a request, in bytes.
	maxHeaderBytes = 16 << 10
)

// Run serves until ctx ends, then finishes what is in hand.
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
	}
	group.Add(func() error { return g.serveUntil(ctx, server) }, func(error) { _ = server.Close() })
	control := &http.Server{Handler: g.controlHandler(), ReadHeaderTimeout: headerTimeout.Duration()}
	group.Add(func() error { return ignoreServerClosed(control.Serve(g.c.Control)) }, func(error) { _ = control.Close() })
	if g.c.Metrics != nil {
		m := &http.Server{Handler: g.metrics.handler(g.c.Registry), ReadHeaderTimeout: headerTimeout.Duration()}
		group.Add(func() error { return ignoreServerClosed(m.Serve(g.c.Metrics)) }, func(error) { _ = m.Close() })
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
	if g.reportsUsage() {
		loop(g.writeTallies)
		loop(g.reportUsage)
	}
	if g.c.Scales {
		loop(g.scaleServices)
	}
	if g.c.Fronts != nil {
		group.Add(func() error { return g.c.Fronts.Receive(work, g) }, func(error) { cancel() })
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

// Figures of a planned stop.
const (
	// balancerLag is how long the balancer goes on sending new connections
	// after this front says that it is not ready: two questions a second apart,
	// and some time for the answers. Where it is the only front of its data
	// centre the balancer sends to it until its end.
	balancerLag = 2600 * kumquatlug.Millis(1)
	// exitMargin is what is left of the grace for leaving.
	exitMargin = 500 * kumquatlug.Millis(1)
	// finalDrainTime is how long before that no more connections are taken; nearly
	// all requests but long streams end within it.
	finalDrainTime = 700 * kumquatlug.Millis(1)
	// idlePollInterval is how often a stopping front looks whether it is idle.
	idlePollInterval = 100 * kumquatlug.Millis(1)
)

// serveUntil serves clients until ctx ends. Then it goes on for as long as the
// grace lasts, while clients may still come: closed at once it would reset the
// connections that are on their way, and where no other front is near nobody
// would be served until the next start. Requests that can't end in time are
// refused meanwhile, see [inflight.outlastsShutdown].
func (g *Gateway) serveUntil(ctx context.Context, server *http.Server) error {
	failed := make(chan error, 1)
	go func() { failed <- ignoreServerClosed(server.Serve(g.c.Clients)) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	begun := g.c.Clock.Now()
	exit := begun + g.c.Grace - exitMargin
	g.exitAt.Store(int64(exit))
	g.stopCoordinating()
	g.c.Logger.Info("stopping", zap.Int64("grace_ms", int64(g.c.Grace)), zap.Int64("in_hand", g.inFlight.Load()))
	for now := begun; now < exit-finalDrainTime; now = g.c.Clock.Now() {
		if now-begun >= balancerLag && g.inFlight.Load() == 0 {
			break
		}
		select {
		case err := <-failed:
			return err
		case <-time.After(idlePollInterval.Duration()):
		}
	}
	left := max(exit-g.c.Clock.Now(), 0)
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), left.Duration())
	defer cancel()
	if err := server.Shutdown(last); err != nil {
		g.c.Logger.Warn("stopped with requests in hand", zap.Int64("in_hand", g.inFlight.Load()), logs.Error(err))
	}
	if g.reportsUsage() {
		g.writeTally(context.WithoutCancel(ctx), finalTallyTimeout, true, true)
	}
	return nil
}

// stopping reports that this front has been told to stop.
func (g *Gateway) stopping() bool { return g.exitAt.Load() != 0 }

// ready reports that this front can serve what the config allows.
func (g *Gateway) ready() bool {
	return !g.stopping() && g.table.Load() != nil && g.members.Load().loaded
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

// releaseCaches drops KV caches that nobody will take, so that their engines have
// the memory back.
func (g *Gateway) releaseCaches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case cache := <-g.unusedCaches:
			call, cancel := context.WithTimeout(ctx, cacheReleaseTimeout.Duration())
			if err := g.c.Workers.Free(call, cache); err != nil {
				g.c.Logger.Info("cache not freed", zap.String("engine", cache.Engine()), logs.Error(err))
			}
			cancel()
		}
	}
}

func (g *Gateway) releaseCache(k kumquatlug.KVCache) {
	if k.Handle() == "" {
		return
	}
	select {
	case g.unusedCaches <- k:
	default:
		// The engine drops it by itself.
	}
}

// sleep waits for a span and reports false when ctx ends first.
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
