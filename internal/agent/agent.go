// Package agent implements the agent, the process that runs beside a target and
// through which all work reaches it. The agent checks each call against the config
// and the drain state, runs non-idempotent calls at most once, forwards orders only
// from the newest lease holder, and reports the target's load and crashes to
// gateways.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1/peerv1connect"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/drain"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// Config holds the settings and dependencies of an [Agent].
type Config struct {
	// Name is the target's name in the platform's list.
	Name string
	// Zone is the data centre.
	Zone string
	// Listener accepts the connections of gateways.
	Listener net.Listener
	// Keys are the agent's TLS keys; nil means plain connections, for loopback only.
	Keys *peer.Keys
	// Target is the target beside the agent. Engine is the same target if it is an
	// engine, nil for a plain service.
	Target kumquatlug.Target
	Engine *engine.Engine
	// ChecksFence reports whether the engine itself refuses outdated fencing tokens.
	ChecksFence bool
	Table       kumquatlug.Table
	Objects     kumquatlug.Objects
	VMs         kumquatlug.VMs
	// Address is the address at which gateways reach the agent. Default is the
	// address of Listener.
	Address string
	// StaleAfter is the time without heartbeats after which the agent reads the table
	// and the VM list itself before it accepts new work, in milliseconds. Default is
	// drain.AgentStaleAfter.
	StaleAfter kumquatlug.Millis
	Clock      kumquatlug.Clock
	Logger     *zap.Logger
	Registry   *prometheus.Registry
	Ring       *timeline.Ring
}

// Agent is the process beside one target.
type Agent struct {
	c            Config
	incarnation  string
	follower     *peer.Follower
	dialer       *peer.Dialer
	work         *workHandler
	admission    *admissionController
	monitor      *targetMonitor
	metrics      *metrics
	targetConfig atomic.Pointer[targetConfig]
}

// targetConfig is what the config in force says about the target. It is computed once
// per revision and used by every call.
type targetConfig struct {
	revision  config.Revision
	selectors []selector.Selector
	labels    selector.Labels
	// labelsErr is set if the target's labels can't be decoded.
	labelsErr error
}

// New returns an agent that is ready to run.
func New(c Config) (*Agent, error) {
	a := &Agent{c: c, incarnation: kumquatlug.NewIncarnation(c.Name), dialer: peer.NewDialer(c.Keys)}
	if a.c.StaleAfter == 0 {
		a.c.StaleAfter = drain.AgentStaleAfter
	}
	a.metrics = newMetrics(c.Registry)
	a.monitor = &targetMonitor{agent: a}
	a.admission = newAdmissionController(a)
	a.follower = peer.NewFollower(peer.FollowerConfig{
		NodeName: c.Name, Dialer: a.dialer, Clock: c.Clock, Ring: c.Ring, Logger: c.Logger,
		Store:     config.NewStore(config.StoreConfig{Table: c.Table, Objects: c.Objects}),
		LiveNodes: func() []string { return nil }, Passive: true, OnState: a.applyConfig,
	})
	work, err := newWorkHandler(a)
	a.work = work
	return a, err
}

// applyConfig passes a config that comes into force to the drain. It is called for
// each revision, even if the label doesn't change.
func (a *Agent) applyConfig(state config.State) {
	labels, err := config.Labels(state, a.c.Name)
	selectors, _ := config.Selectors(state)
	next := &targetConfig{revision: state.Revision(), selectors: selectors, labels: labels.WithPlatform(a.c.Name, a.c.Zone), labelsErr: err}
	a.admission.update(func(now kumquatlug.Millis) {
		// The follower and refreshWhenStale both call applyConfig; the later of the two
		// calls may have the older config, which must not replace the newer one.
		if current := a.targetConfig.Load(); current == nil || current.revision <= next.revision {
			a.targetConfig.Store(next)
		}
		if err != nil || state.Revision() == 0 {
			return
		}
		a.admission.drain.SetLeavingLabel(int64(state.Revision()), labels.Leaving(), now)
	})
}

// refusal returns a failure of a call that was not sent to the target.
func (a *Agent) refusal(step, reason string, cause error) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Peer: a.c.Name, Reason: reason, Execution: kumquatlug.NotExecuted, Cause: cause,
	})
}

// Protocol returns the protocol of the target.
func (a *Agent) Protocol() kumquatlug.Protocol {
	if a.c.Engine != nil {
		return kumquatlug.ProtocolEngine
	}
	return kumquatlug.ProtocolService
}

// Run serves until ctx ends and then shuts down gracefully: it refuses new work as
// not executed and completes the calls in flight, however long they take.
func (a *Agent) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	for _, task := range []func(context.Context) error{
		a.follower.Run, a.monitor.run, a.refreshWhenStale, a.runOrders, a.work.ledger.Run,
		a.vmRegistration().Run,
	} {
		peer.AddTask(background, &group, task)
	}
	peer.AddServer(&group, "serve gateways", &http.Server{Handler: a.handler(), TLSConfig: a.c.Keys.Server()}, a.c.Listener)
	group.Add(func() error {
		<-ctx.Done()
		a.drain(background)
		return ctx.Err()
	}, func(error) { cancel() })
	a.c.Logger.Info("agent serves", zap.String("name", a.c.Name), zap.String("address", a.c.Listener.Addr().String()))
	defer a.dialer.Close()
	return peer.RunGroup(&group)
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	keys := a.c.Keys
	path, service := peerv1connect.NewPeerServiceHandler(peer.NewService(a.follower, a.c.Ring), peer.HandlerOptions())
	mux.Handle(path, keys.RequireRole(service, peer.RoleGateway, peer.RoleAgent))
	path, agent := peerv1connect.NewAgentServiceHandler(&agentService{agent: a}, peer.HandlerOptions())
	mux.Handle(path, keys.RequireRole(agent, peer.RoleGateway))
	mux.Handle(peer.WorkPath+"/", keys.RequireRole(a.work, peer.RoleGateway))
	mux.Handle("/metrics", metricsHandler(a.c.Registry))
	return mux
}

// vmRegistration returns the agent's registration in the list of VMs.
func (a *Agent) vmRegistration() peer.Registration {
	address := a.c.Address
	if address == "" {
		address = a.c.Listener.Addr().String()
	}
	return peer.Registration{VMs: a.c.VMs, Logger: a.c.Logger, VM: kumquatlug.NewVM(kumquatlug.VMConfig{
		Name: a.c.Name, Role: kumquatlug.VMTarget, Address: address, Zone: a.c.Zone, State: kumquatlug.VMLive,
	})}
}

// drain refuses new work and waits for the calls in flight. It has no timeout, so
// that no response is interrupted.
func (a *Agent) drain(ctx context.Context) {
	a.admission.stop()
	a.c.Ring.Add(timeline.Record{Name: timeline.StateChanged, Detail: "stopping"})
	peer.WaitUntil(ctx, a.admission.drained)
	if err := a.work.ledger.Flush(ctx); err != nil {
		a.c.Logger.Warn("failed to store outcomes before the shutdown", timeline.ErrorField(err))
	}
	a.c.Logger.Info("agent stops; no calls in flight", zap.String("name", a.c.Name))
}
