package peer

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
)

// Intervals and limits of a [Follower].
const (
	// followInterval is the interval at which the follower checks for due reads and
	// pulls.
	followInterval = 100 * kumquatlug.Millis(1)
	// inboxSize bounds the queued messages. A report about the head that finds the
	// inbox full is dropped, since the next heartbeat repeats it.
	inboxSize = 256
	// pullTimeout bounds one pull or one read of the head.
	pullTimeout = 2 * time.Second
	// passiveReadAge is the age of the head at which a passive node reads it, and
	// passiveReadInterval the interval between its reads from then on. Their sum is
	// below the 16 s within which a change must be in force. Ten thousand agents
	// without any heartbeats send a thousand reads a second.
	passiveReadAge      = 5 * kumquatlug.Second
	passiveReadInterval = 10 * kumquatlug.Second
)

// FollowerConfig holds the settings and dependencies of a [Follower].
type FollowerConfig struct {
	// NodeName is the name of this node.
	NodeName string
	Store    *config.Store
	Dialer   *Dialer
	Clock    kumquatlug.Clock
	Ring     *timeline.Ring
	Logger   *zap.Logger
	// LiveNodes returns the names of the nodes in this data centre.
	LiveNodes func() []string
	// Passive nodes read the head only if no peer has reported it for a while. Ten
	// thousand agents that each read it once a second would need five times the
	// read rate that the table supports.
	Passive bool
	// OnState is called with each state before it comes into force, always from the
	// same goroutine once Run was called. It must not block.
	OnState func(config.State)
}

// Follower keeps the config of a process up to date. It reads the head if the node
// is one of its data centre's readers and otherwise receives it from peers, and it
// pulls missing changes from a peer that has them. The goroutine of Run makes all
// decisions; reads and pulls run in goroutines of their own, which send their
// results to its inbox.
type Follower struct {
	c       FollowerConfig
	adopter *config.Adopter
	inbox   chan any
	state   atomic.Pointer[config.State]
	headAge atomic.Int64
}

// Messages to the inbox besides config.HeadReport.
type (
	pullResult struct {
		peer       string
		changes    []config.Change
		snapshot   config.State
		isSnapshot bool
		err        error
	}
	sinceQuery struct {
		revision config.Revision
		response chan sinceResponse
	}
	sinceResponse struct {
		changes []config.Change
		found   bool
	}
)

// NewFollower returns a follower without a config.
func NewFollower(c FollowerConfig) *Follower {
	settings := config.AdopterConfig{NodeName: c.NodeName, Now: c.Clock.Now()}
	if c.Passive {
		settings.PollInterval = passiveReadInterval
	}
	f := &Follower{c: c, inbox: make(chan any, inboxSize), adopter: config.NewAdopter(settings)}
	f.publish(f.adopter.State())
	return f
}

// State returns the config in force on this node.
func (f *Follower) State() config.State { return *f.state.Load() }

// HeadAge returns how long ago the head was last confirmed.
func (f *Follower) HeadAge() kumquatlug.Millis { return kumquatlug.Millis(f.headAge.Load()) }

// ObserveRevision handles the revision that the peer with role at address reported. Its
// age says how long ago it was confirmed to be the head; config.AgeUnknown confirms
// nothing.
func (f *Follower) ObserveRevision(role Role, address string, revision int64, age kumquatlug.Millis) {
	report := config.HeadReport{Peer: peerName(role, address), Revision: config.Revision(revision), Age: age}
	if report.Revision <= f.State().Revision() && age == config.AgeUnknown {
		return
	}
	select {
	case f.inbox <- report:
	default:
	}
}

// ObserveHead handles a head that was just written to, or read from, the table.
func (f *Follower) ObserveHead(revision config.Revision) {
	select {
	case f.inbox <- config.HeadReport{Peer: config.TablePeer, Revision: revision}:
	default:
	}
}

// peerName returns the name by which the adopter identifies a peer.
func peerName(role Role, address string) string { return string(role) + "@" + address }

// ChangesSince returns the changes after revision. It returns false if they are no
// longer available and the whole state is needed.
func (f *Follower) ChangesSince(ctx context.Context, revision config.Revision) ([]config.Change, bool) {
	query := sinceQuery{revision: revision, response: make(chan sinceResponse, 1)}
	select {
	case f.inbox <- query:
	case <-ctx.Done():
		return nil, false
	}
	select {
	case response := <-query.response:
		return response.changes, response.found
	case <-ctx.Done():
		return nil, false
	}
}

// Refresh reads the newest config from the table and returns when it is in force on
// this node.
func (f *Follower) Refresh(ctx context.Context) error {
	requestedAt := f.c.Clock.Now()
	head, err := f.c.Store.Head(ctx)
	if err != nil {
		return err
	}
	f.enqueue(ctx, config.HeadReport{Peer: config.TablePeer, Revision: head, Age: f.c.Clock.Now() - requestedAt})
	if current := f.State().Revision(); current < head {
		result := f.pullTable(ctx, current)
		f.enqueue(ctx, result)
	}
	WaitUntil(ctx, func() bool { return f.State().Revision() >= head })
	return ctx.Err()
}

// Run follows the config until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	go f.loadSnapshot(ctx)
	tick := time.NewTicker(followInterval.Duration())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message := <-f.inbox:
			f.handle(message)
		case <-tick.C:
		}
		f.runDue(ctx)
	}
}

// loadSnapshot loads the whole state from the table, so that a new node doesn't have
// to replay the log.
func (f *Follower) loadSnapshot(ctx context.Context) {
	f.pull(ctx, config.TablePeer, 0)
}

func (f *Follower) handle(message any) {
	switch m := message.(type) {
	case config.HeadReport:
		f.adopter.ObserveReport(f.c.Clock.Now(), m)
	case pullResult:
		f.handlePull(m)
	case sinceQuery:
		changes, found := f.adopter.ChangesSince(m.revision)
		m.response <- sinceResponse{changes: changes, found: found}
	}
}

// runDue starts the reads and pulls that are due and updates the age of the head.
func (f *Follower) runDue(ctx context.Context) {
	now := f.c.Clock.Now()
	f.headAge.Store(int64(f.adopter.Age(now)))
	deferPoll := f.c.Passive && f.adopter.Age(now) < passiveReadAge
	if !deferPoll && f.adopter.ShouldPoll(now, f.c.LiveNodes()) {
		go f.pollHead(ctx)
	}
	if next, due := f.adopter.NextPull(now); due {
		go f.pull(ctx, next.Peer(), next.Since())
	}
}

// pollHead reads the head. Its age counts from before the read was sent.
func (f *Follower) pollHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	requestedAt := f.c.Clock.Now()
	head, err := f.c.Store.Head(ctx)
	if err != nil {
		f.c.Logger.Warn("failed to read the head of the config", timeline.ErrorField(err))
		return
	}
	f.enqueue(ctx, config.HeadReport{Peer: config.TablePeer, Revision: head, Age: f.c.Clock.Now() - requestedAt})
}

func (f *Follower) pull(ctx context.Context, from string, since config.Revision) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var result pullResult
	if from == config.TablePeer {
		result = f.pullTable(ctx, since)
	} else {
		result = f.pullPeer(ctx, from, since)
	}
	result.peer = from
	f.enqueue(ctx, result)
}

func (f *Follower) enqueue(ctx context.Context, message any) {
	select {
	case f.inbox <- message:
	case <-ctx.Done():
	}
}

func (f *Follower) pullTable(ctx context.Context, since config.Revision) pullResult {
	if since > 0 {
		changes, err := f.c.Store.ChangesSince(ctx, since)
		if err == nil {
			return pullResult{changes: changes}
		}
	}
	snapshot, err := f.c.Store.Load(ctx)
	return pullResult{snapshot: snapshot, isSnapshot: true, err: err}
}

func (f *Follower) pullPeer(ctx context.Context, from string, since config.Revision) pullResult {
	role, address, _ := strings.Cut(from, "@")
	response, err := f.c.Dialer.Peer(Role(role), address).Pull(ctx,
		connect.NewRequest(&peerv1.PullRequest{Since: int64(since), Node: f.c.NodeName}))
	if err != nil {
		return pullResult{err: err}
	}
	if response.Msg.GetWhole() {
		snapshot := config.NewState(config.Revision(response.Msg.GetRevision()), DecodeSets(response.Msg.GetSets()))
		return pullResult{snapshot: snapshot, isSnapshot: true}
	}
	return pullResult{changes: decodeChanges(response.Msg.GetChanges())}
}

func (f *Follower) handlePull(result pullResult) {
	if result.err != nil {
		f.c.Logger.Warn("failed to pull the config", zap.String("peer", result.peer), timeline.ErrorField(result.err))
		f.adopter.PullFailed(result.peer)
		return
	}
	state, changed, err := f.adoptResult(result)
	if err != nil {
		f.c.Logger.Warn("failed to adopt the config", zap.String("peer", result.peer), timeline.ErrorField(err))
		f.adopter.PullFailed(result.peer)
	}
	if changed {
		f.publish(state)
		f.c.Ring.Add(timeline.Record{Name: timeline.ConfigAdopted, Peer: result.peer, Detail: "revision " + revisionText(state.Revision())})
	}
}

func (f *Follower) adoptResult(result pullResult) (config.State, bool, error) {
	if !result.isSnapshot {
		return f.adopter.Adopt(result.changes)
	}
	state, changed := f.adopter.AdoptState(result.snapshot)
	return state, changed, nil
}

// publish makes state current, after OnState has applied it.
func (f *Follower) publish(state config.State) {
	if f.c.OnState != nil {
		f.c.OnState(state)
	}
	f.state.Store(&state)
}
