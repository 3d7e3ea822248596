// Package entry implements the gateway that the entry command runs, the process
// that serves callers and operators. It connects their APIs with the event loop
// that makes the scheduling decisions, the heartbeats to agents, the platform's
// VM list and the config.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/caller"
	"github.com/kumquatlug/kumquatlug/internal/operator"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1/peerv1connect"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ledger"
)

// Config configures an [Entry].
type Config struct {
	// Name is the name of this VM in the platform's VM list, Zone its data
	// centre.
	Name string
	Zone string
	// CallerListener, PeerListener and OperatorListener accept the connections
	// of callers, peers and operators.
	CallerListener   net.Listener
	PeerListener     net.Listener
	OperatorListener net.Listener
	// PeerAddress is the address advertised to peers; empty means the address
	// of PeerListener.
	PeerAddress string
	// PeerKeys are the TLS keys for connections between nodes; nil means plain
	// connections on loopback.
	PeerKeys *peer.Keys
	// CallerTLS is the server certificate presented to callers and operators;
	// nil means plain connections.
	CallerTLS *peer.PublicKeys
	// OperatorKeys maps the hash of an operator's API key to the operator's
	// name.
	OperatorKeys map[string]string
	Table        kumquatlug.Table
	Objects      kumquatlug.Objects
	VMs          kumquatlug.VMs
	Clock        kumquatlug.Clock
	// VMListInterval is the interval between reads of the platform's VM list, in
	// milliseconds.
	VMListInterval kumquatlug.Millis
	// BalancerLag is how long a gateway that is shutting down still accepts
	// requests after it reports that it is not ready, in milliseconds.
	BalancerLag kumquatlug.Millis
	// MaxBodyBytes is the maximum size of a caller's request body, in bytes; zero
	// means the default.
	MaxBodyBytes int64
	// MaxTotalBodyBytes is the maximum total size of the bodies of all requests in
	// flight, in bytes; zero means the default.
	MaxTotalBodyBytes int64
	Dispatch          dispatch.Config
	// NewPlanner returns a new role planner for a group of engines.
	NewPlanner func() kumquatlug.RolePlanner
	Logger     *zap.Logger
	Registry   *prometheus.Registry
	Ring       *timeline.Ring
}

// Entry is a gateway, which runs behind the load balancer.
type Entry struct {
	cfg         Config
	incarnation string
	address     string
	dialer      *peer.Dialer
	follower    *peer.Follower
	configStore *config.Store
	ledger      *ledger.Ledger
	eraKeeper   *ledger.EraKeeper
	loop        *loop
	attempts    *attemptTracker
	roles       *roleController
	view        atomic.Pointer[configView]
	listedVMs   atomic.Pointer[[]kumquatlug.VM]
	metrics     *metrics
	draining    atomic.Bool
	inFlight    atomic.Int64
	callers     *peer.Connections
}

// New returns a gateway that is ready to run.
func New(c Config) (*Entry, error) {
	e := &Entry{cfg: c, incarnation: kumquatlug.NewIncarnation(c.Name), address: c.PeerAddress, dialer: peer.NewDialer(c.PeerKeys), attempts: newAttemptTracker(), callers: peer.NewConnections(c.Clock)}
	if e.address == "" {
		e.address = c.PeerListener.Addr().String()
	}
	e.metrics = newMetrics(c.Registry)
	e.configStore = config.NewStore(config.StoreConfig{Table: c.Table, Objects: c.Objects})
	e.listedVMs.Store(&[]kumquatlug.VM{})
	e.cfg.Dispatch.Gateway, e.cfg.Dispatch.Zone = c.Name, c.Zone
	e.loop = newLoop(e)
	e.roles = newRoleController(e)
	e.follower = peer.NewFollower(peer.FollowerConfig{
		NodeName: c.Name, Dialer: e.dialer, Clock: c.Clock, Ring: c.Ring, Logger: c.Logger, Store: e.configStore,
		LiveNodes: e.localGateways, OnState: e.applyConfig,
	})
	return e, e.openLedger()
}

func (e *Entry) openLedger() error {
	var err error
	e.ledger, err = ledger.New(ledger.Config{
		Table: e.cfg.Table, Objects: e.cfg.Objects, Clock: e.cfg.Clock, Target: e.cfg.Name, Incarnation: e.incarnation,
	})
	if err != nil {
		return errors.Wrap(err, "open ledger")
	}
	e.eraKeeper, err = ledger.NewEraKeeper(ledger.EraKeeperConfig{Table: e.cfg.Table, Clock: e.cfg.Clock, Incarnation: e.incarnation})
	return errors.Wrap(err, "open ledger")
}

// applyConfig passes a config that took effect to the request handlers and the
// loop.
func (e *Entry) applyConfig(state config.State) {
	e.view.Store(newConfigView(state))
	e.loop.post(configChanged{state})
}

// localGateways returns the gateways of this data centre in the platform's VM
// list.
func (e *Entry) localGateways() []string {
	var names []string
	for _, vm := range *e.listedVMs.Load() {
		if vm.Role() == kumquatlug.VMGateway && vm.Zone() == e.cfg.Zone {
			names = append(names, vm.Name())
		}
	}
	return names
}

// Run serves until ctx ends, then shuts down gracefully: it reports that it is
// not ready, accepts requests until the load balancer has noticed, and
// completes every request in flight, however long that takes.
func (e *Entry) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	for _, task := range []func(context.Context) error{
		e.loop.run, e.follower.Run, e.pollVMs, e.runHeartbeats, e.ledger.Run, e.eraKeeper.Run, e.runSnapshots, e.roles.run,
		e.presence().Run,
	} {
		peer.AddTask(background, &group, task)
	}
	e.addServers(&group)
	group.Add(func() error {
		<-ctx.Done()
		e.drain(background)
		return ctx.Err()
	}, func(error) { cancel() })
	e.cfg.Logger.Info("entry serves", zap.String("name", e.cfg.Name), zap.String("callers", e.cfg.CallerListener.Addr().String()),
		zap.String("peers", e.address), zap.String("operators", e.cfg.OperatorListener.Addr().String()))
	defer e.dialer.Close()
	return peer.RunGroup(&group)
}

// presence returns the registration of this gateway in the platform's VM list.
func (e *Entry) presence() peer.Registration {
	return peer.Registration{VMs: e.cfg.VMs, Logger: e.cfg.Logger, VM: kumquatlug.NewVM(kumquatlug.VMConfig{
		Name: e.cfg.Name, Role: kumquatlug.VMGateway, Address: e.address, Zone: e.cfg.Zone, State: kumquatlug.VMLive,
	})}
}

// drain waits until the load balancer sends no more requests, none is in flight and what
// callers have sent in part is answered.
func (e *Entry) drain(ctx context.Context) {
	e.draining.Store(true)
	e.cfg.Ring.Add(timeline.Record{Name: timeline.StateChanged, Detail: "stopping"})
	e.cfg.Logger.Info("entry is shutting down, draining in-flight requests", zap.Int64("in_hand", e.inFlight.Load()))
	select {
	case <-time.After(e.cfg.BalancerLag.Duration()):
	case <-ctx.Done():
		return
	}
	idle := func() bool { return e.inFlight.Load() == 0 }
	peer.WaitUntil(ctx, idle)
	e.callers.Drain(ctx, idle)
	e.cfg.Logger.Info("entry has drained its requests and is stopping")
}

func (e *Entry) addServers(group *run.Group) {
	callers := caller.New(caller.Config{Backend: e, Logger: e.cfg.Logger, MaxBodyBytes: e.cfg.MaxBodyBytes, MaxTotalBodyBytes: e.cfg.MaxTotalBodyBytes})
	public := http.NewServeMux()
	e.addProbes(public)
	public.Handle("/", e.countInFlight(callers))
	server := e.server(public, e.cfg.CallerTLS.Server())
	peer.AddServer(group, "serve callers", server, e.callers.Track(server, e.cfg.CallerListener))

	peers := http.NewServeMux()
	path, service := peerv1connect.NewPeerServiceHandler(peer.NewService(e.follower, e.cfg.Ring), peer.HandlerOptions())
	peers.Handle(path, e.cfg.PeerKeys.RequireRole(service, peer.RoleGateway, peer.RoleAgent))
	path, service = peerv1connect.NewEntryServiceHandler(&demandService{e.roles}, peer.HandlerOptions())
	peers.Handle(path, e.cfg.PeerKeys.RequireRole(service, peer.RoleGateway))
	e.addServer(group, "serve peers", peers, e.cfg.PeerListener, e.cfg.PeerKeys.Server())

	operators := http.NewServeMux()
	e.addProbes(operators)
	operators.Handle("/metrics", promhttp.HandlerFor(e.cfg.Registry, promhttp.HandlerOpts{}))
	path, service = operator.NewHandler(operator.HandlerConfig{Backend: e, Keys: e.cfg.OperatorKeys, Logger: e.cfg.Logger})
	operators.Handle(path, service)
	e.addServer(group, "serve operators", operators, e.cfg.OperatorListener, e.cfg.CallerTLS.Server())
}

// countInFlight counts the callers' requests in flight, so that a graceful
// shutdown can wait for the last one.
func (e *Entry) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.metrics.inFlight.Set(float64(e.inFlight.Add(1)))
		defer func() { e.metrics.inFlight.Set(float64(e.inFlight.Add(-1))) }()
		next.ServeHTTP(w, r)
	})
}

// addProbes adds the liveness and readiness probes.
func (e *Entry) addProbes(mux *http.ServeMux) {
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := e.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte("ok\n"))
	})
}

// notReadyReason returns why the load balancer should route callers elsewhere,
// or an empty string if the gateway is ready.
func (e *Entry) notReadyReason() string {
	switch {
	case e.draining.Load():
		return "stopping"
	case e.view.Load().revision == 0:
		return "no config yet"
	default:
		return ""
	}
}

func (e *Entry) addServer(group *run.Group, step string, handler http.Handler, l net.Listener, tlsConfig *tls.Config) {
	peer.AddServer(group, step, e.server(handler, tlsConfig), l)
}

func (e *Entry) server(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	return &http.Server{Handler: handler, TLSConfig: tlsConfig, ErrorLog: zap.NewStdLog(e.cfg.Logger)}
}
