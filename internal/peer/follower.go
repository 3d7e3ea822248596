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

// Figures of a [Follower].
const (
	// followInterval is how often it looks for something to do.
	followInterval = 100 * kumquatlug.Millis(1)
	// inboxSize bounds the words of the head that wait for it. One that finds
	// the ring full is dropped: the next heartbeat brings it again.
	inboxSize = 256
	// pullTimeout bounds one pull or read of the head.
	pullTimeout = 2 * time.Second
	// passiveReadAge is the age of the head at which a passive node reads it, and
	// passiveReadInterval how often it does then. Together they are below the 16 s in
	// which a change is to be in force; ten thousand agents that hear from no
	// entry at all make a thousand reads a second.
	passiveReadAge      = 5 * kumquatlug.Second
	passiveReadInterval = 10 * kumquatlug.Second
)

// FollowerConfig is what a [Follower] is made of.
type FollowerConfig struct {
	// Me is this node's name.
	Me     string
	Store  *config.Store
	Dialer *Dialer
	Clock  kumquatlug.Clock
	Ring   *timeline.Ring
	Logger *zap.Logger
	// Live returns the names of the nodes of this data centre.
	Live func() []string
	// Passive nodes leave the head to others: they read it only when nobody has
	// told them of it for long. Ten thousand agents that each read it once a
	// second would take five times what the table gives.
	Passive bool
	// OnState is called, from one goroutine, with each state that comes into
	// force; it must not block.
	OnState func(config.State)
}

// Follower keeps a process's config up to date: it reads the head when the
// node is one of its data centre's readers, hears of it from peers otherwise,
// and pulls what is missing from whoever knows more. One goroutine owns the
// decisions; reads and pulls run beside it and send their results back.
type Follower struct {
	c       FollowerConfig
	adopter *config.Adopter
	inbox   chan any
	state   atomic.Pointer[config.State]
	headAge atomic.Int64
}

// Messages to the follower's goroutine besides config.Report.
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
		reply    chan sinceReply
	}
	sinceReply struct {
		changes []config.Change
		found   bool
	}
)

// NewFollower returns a follower that holds no config yet.
func NewFollower(c FollowerConfig) *Follower {
	settings := config.AdopterConfig{Me: c.Me, Now: c.Clock.Now()}
	if c.Passive {
		settings.Poll = passiveReadInterval
	}
	f := &Follower{c: c, inbox: make(chan any, inboxSize), adopter: config.NewAdopter(settings)}
	f.publish(f.adopter.Holds())
	return f
}

// State returns the config in force on this node.
func (f *Follower) State() config.State { return *f.state.Load() }

// HeadAge returns how long ago the head was confirmed.
func (f *Follower) HeadAge() kumquatlug.Millis { return kumquatlug.Millis(f.headAge.Load()) }

// Learned takes in a word of the head from the peer with a role at address; a
// negative age confirms nothing.
func (f *Follower) Learned(role Role, address string, revision int64, age kumquatlug.Millis) {
	report := config.Report{Peer: peerName(role, address), Revision: config.Revision(revision), Age: age}
	if report.Revision <= f.State().Revision() && age == config.AgeUnknown {
		return
	}
	select {
	case f.inbox <- report:
	default:
	}
}

// LearnedHead takes in a head that was just written to, or read from, the table.
func (f *Follower) LearnedHead(revision config.Revision) {
	select {
	case f.inbox <- config.Report{Peer: config.Table, Revision: revision}:
	default:
	}
}

// peerName returns the name under which the follower remembers a peer.
func peerName(role Role, address string) string { return string(role) + "@" + address }

// Since returns the changes after revision, and false when the whole state is
// needed.
func (f *Follower) Since(ctx context.Context, revision config.Revision) ([]config.Change, bool) {
	query := sinceQuery{revision: revision, reply: make(chan sinceReply, 1)}
	select {
	case f.inbox <- query:
	case <-ctx.Done():
		return nil, false
	}
	select {
	case reply := <-query.reply:
		return reply.changes, reply.found
	case <-ctx.Done():
		return nil, false
	}
}

// Refresh asks the table for the newest config and returns when it is in force
// here.
func (f *Follower) Refresh(ctx context.Context) error {
	requestedAt := f.c.Clock.Now()
	head, err := f.c.Store.Head(ctx)
	if err != nil {
		return err
	}
	f.enqueue(ctx, config.Report{Peer: config.Table, Revision: head, Age: f.c.Clock.Now() - requestedAt})
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

// loadSnapshot loads the whole state from the table, so that a new node need not walk
// the log.
func (f *Follower) loadSnapshot(ctx context.Context) {
	f.pull(ctx, config.Table, 0)
}

func (f *Follower) handle(message any) {
	switch m := message.(type) {
	case config.Report:
		f.adopter.Learned(f.c.Clock.Now(), m)
	case pullResult:
		f.handlePull(m)
	case sinceQuery:
		changes, found := f.adopter.Since(m.revision)
		m.reply <- sinceReply{changes: changes, found: found}
	}
}

// runDue starts what is due and tells how old the head is.
func (f *Follower) runDue(ctx context.Context) {
	now := f.c.Clock.Now()
	f.headAge.Store(int64(f.adopter.Age(now)))
	deferPoll := f.c.Passive && f.adopter.Age(now) < passiveReadAge
	if !deferPoll && f.adopter.Poll(now, f.c.Live()) {
		go f.pollHead(ctx)
	}
	if next, due := f.adopter.Pull(now); due {
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
		f.c.Logger.Warn("can't read the config's head", timeline.ErrorField(err))
		return
	}
	f.enqueue(ctx, config.Report{Peer: config.Table, Revision: head, Age: f.c.Clock.Now() - requestedAt})
}

func (f *Follower) pull(ctx context.Context, from string, since config.Revision) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var result pullResult
	if from == config.Table {
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
		changes, err := f.c.Store.Since(ctx, since)
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
		connect.NewRequest(&peerv1.PullRequest{Since: int64(since), Node: f.c.Me}))
	if err != nil {
		return pullResult{err: err}
	}
	if response.Msg.GetWhole() {
		snapshot := config.NewState(config.Revision(response.Msg.GetRevision()), SetsFrom(response.Msg.GetSets()))
		return pullResult{snapshot: snapshot, isSnapshot: true}
	}
	return pullResult{changes: changesFrom(response.Msg.GetChanges())}
}

func (f *Follower) handlePull(result pullResult) {
	if result.err != nil {
		f.c.Logger.Warn("can't pull the config", zap.String("peer", result.peer), timeline.ErrorField(result.err))
		f.adopter.PullFailed(result.peer)
		return
	}
	state, changed, err := f.adoptResult(result)
	if err != nil {
		f.c.Logger.Warn("can't adopt the config", zap.String("peer", result.peer), timeline.ErrorField(err))
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

// publish brings a state into force before anybody is told that it is.
func (f *Follower) publish(state config.State) {
	if f.c.OnState != nil {
		f.c.OnState(state)
	}
	f.state.Store(&state)
}
