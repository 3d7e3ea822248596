// Package agent wires the process beside a target: the only way to it. It
// checks every piece of work against the config and the leaving state, runs
// calls that may not be repeated at most once, hands orders on only from the
// newest lease holder, and tells entries of the target's load and crashes.
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

// Config is what an [Agent] is made of.
type Config struct {
	// Name is the target's name, as in the platform's list.
	Name string
	// Zone is the data centre.
	Zone string
	// Listener is where entries reach the agent.
	Listener net.Listener
	// Keys are the agent's own; nil means plain connections on loopback.
	Keys *peer.Keys
	// Target is what the agent stands beside; Engine is the same when it is an
	// engine, nil for a plain service.
	Target kumquatlug.Target
	Engine *engine.Engine
	// ChecksFence says whether the engine itself refuses old fencing numbers.
	ChecksFence bool
	Table       kumquatlug.Table
	Objects     kumquatlug.Objects
	VMs         kumquatlug.VMs
	// Address is what entries are told to reach the agent by; empty means the
	// address of Listener.
	Address string
	// Silence is after how long without an entry's heartbeat the agent asks for
	// itself before it takes new work, in milliseconds; zero means
	// drain.AgentSilence.
	Silence  kumquatlug.Millis
	Clock    kumquatlug.Clock
	Logger   *zap.Logger
	Registry *prometheus.Registry
	Ring     *timeline.Ring
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

// targetConfig are what the config in force says of the target. They are read once for
// each revision and looked up by every piece of work.
type targetConfig struct {
	revision  config.Revision
	selectors []selector.Selector
	labels    selector.Labels
	// labelsErr is why the target's labels can't be read.
	labelsErr error
}

// New returns an agent that is ready to run.
func New(c Config) (*Agent, error) {
	a := &Agent{c: c, incarnation: kumquatlug.NewIncarnation(c.Name), dialer: peer.NewDialer(c.Keys)}
	if a.c.Silence == 0 {
		a.c.Silence = drain.AgentSilence
	}
	a.metrics = newMetrics(c.Registry)
	a.monitor = &targetMonitor{agent: a}
	a.admission = newAdmissionController(a)
	a.follower = peer.NewFollower(peer.FollowerConfig{
		Me: c.Name, Dialer: a.dialer, Clock: c.Clock, Ring: c.Ring, Logger: c.Logger,
		Store: config.NewStore(config.StoreConfig{Table: c.Table, Objects: c.Objects}),
		Live:  func() []string { return nil }, Passive: true, OnState: a.applyConfig,
	})
	work, err := newWorkHandler(a)
	a.work = work
	return a, err
}

// applyConfig hands a config that came into force to the drain. It is called
// for each revision, also where the label stays the same.
func (a *Agent) applyConfig(state config.State) {
	labels, err := config.Labels(state, a.c.Name)
	selectors, _ := config.Selectors(state)
	next := &targetConfig{revision: state.Revision(), selectors: selectors, labels: labels.With(a.c.Name, a.c.Zone), labelsErr: err}
	a.admission.update(func(now kumquatlug.Millis) {
		// Two duties call this; the slower one must not bring old terms back.
		if current := a.targetConfig.Load(); current == nil || current.revision <= next.revision {
			a.targetConfig.Store(next)
		}
		if err != nil || state.Revision() == 0 {
			return
		}
		a.admission.drain.Label(int64(state.Revision()), labels.Leaving(), now)
	})
}

// refusal returns a refusal before anything was sent to the target.
func (a *Agent) refusal(step, reason string, cause error) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Peer: a.c.Name, Reason: reason, Ran: kumquatlug.RanNot, Cause: cause,
	})
}

// Protocol returns how the target is spoken to.
func (a *Agent) Protocol() kumquatlug.Protocol {
	if a.c.Engine != nil {
		return kumquatlug.ProtocolEngine
	}
	return kumquatlug.ProtocolService
}

// Run serves until ctx ends, then stops gracefully: new work is refused as not
// run and everything in hand is finished, however long it takes.
func (a *Agent) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	for _, task := range []func(context.Context) error{
		a.follower.Run, a.monitor.run, a.refreshWhenStale, a.runOrders, a.work.ledger.Run,
		a.presence().Run,
	} {
		peer.AddDuty(background, &group, task)
	}
	peer.AddServer(&group, "serve entries", &http.Server{Handler: a.handler(), TLSConfig: a.c.Keys.Server()}, a.c.Listener)
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
	mux.Handle(path, keys.Only(service, peer.RoleEntry, peer.RoleAgent))
	path, agent := peerv1connect.NewAgentServiceHandler(&agentService{agent: a}, peer.HandlerOptions())
	mux.Handle(path, keys.Only(agent, peer.RoleEntry))
	mux.Handle(peer.WorkPath+"/", keys.Only(a.work, peer.RoleEntry))
	mux.Handle("/metrics", metricsHandler(a.c.Registry))
	return mux
}

// presence is the agent's entry on the list of VMs.
func (a *Agent) presence() peer.Presence {
	address := a.c.Address
	if address == "" {
		address = a.c.Listener.Addr().String()
	}
	return peer.Presence{VMs: a.c.VMs, Logger: a.c.Logger, VM: kumquatlug.NewVM(kumquatlug.VMConfig{
		Name: a.c.Name, Role: kumquatlug.VMTarget, Address: address, Zone: a.c.Zone, State: kumquatlug.VMLive,
	})}
}

// drain refuses new work and waits for all that is in hand; no time limit cuts
// a call that is being answered.
func (a *Agent) drain(ctx context.Context) {
	a.admission.stop()
	a.c.Ring.Add(timeline.Record{Name: timeline.StateChanged, Detail: "stopping"})
	peer.WaitUntil(ctx, a.admission.drained)
	if err := a.work.ledger.Flush(ctx); err != nil {
		a.c.Logger.Warn("outcomes could not be stored before the stop", timeline.ErrorField(err))
	}
	a.c.Logger.Info("agent has finished its work and stops", zap.String("name", a.c.Name))
}
