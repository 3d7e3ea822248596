// Package ledger makes a non-idempotent call run at most once, and keeps a
// refusal that reports "not run" true.
//
// The process beside the target (the agent) claims the call right before it
// runs it: it inserts a row for caller and idempotency key into the platform's
// table, and runs the call, once, only if that insert took effect. The
// alternative, a claim made by the gateway (the process that accepts calls), was
// rejected: claim and run would be in different processes, and every pause or
// loss between the two would need a second agreement. Without the ledger, a
// caller that resends after a lost response, or a gateway that retries after a
// timeout, executes the call twice.
//
// # States of a row
//
//	absent    nothing is known; any dispatch may claim
//	free N    nothing ran; a dispatch of epoch N or more may claim
//	claimed   one process runs it, or crashed while running it
//	done      it ran; the row holds the response, or the name of its object
//	unknown   whether it ran can't be known; it never runs again
//
// A resend after a true "not run" must be able to run, while the dispatch that
// was given up must not, however late it arrives. Therefore each dispatch
// carries an epoch, initially zero. A gateway that does not know the result of a
// dispatch of epoch N blocks it by writing "free N+1". The late dispatch finds
// a row above its epoch and is refused. The resend is refused once as stale,
// receives the new epoch and is sent again with it. Two alternatives were
// rejected: a permanent "blocked" row, because the caller would need a new key
// for the same operation, which leads to duplicates; and reading the row before
// each dispatch, which costs a read for every call to save a round trip in a
// rare case. A claim under which nothing ran is released as "free N": its
// dispatch has been answered, and the gateway may send it to the next target with
// the same epoch.
//
// For a "not run" to be true, the gateway follows these rules:
//
//   - A dispatch is sent once. A client library that repeats a request by
//     itself, as Go's does for one with an Idempotency-Key header and a body it
//     can rewind, creates a copy that is not tracked.
//   - Once the result of any dispatch of a request is not known, a refusal of a
//     later one is not enough; the gateway must block.
//   - Only VerdictBlocked, or a refusal that the agent itself reported as
//     not-run, is reported as not-run.
//
// All dispatches of one request carry the era of the first.
//
// # Lost responses and outages
//
// After a lost response to a commit, the writer reads the row and looks for its
// own claim. If the claim is missing, the write may still be in flight, so the
// same claim is written again under the same conditions: whichever copy arrives
// second conflicts. If the caller was refused in the meantime, the claim is
// released.
//
// When the table is unavailable, a claim is refused at once as not-run. An
// agent could instead decide from memory during an outage, since it has seen
// every claim of the keys that it is the first choice for. That is not
// implemented, because it fails in three cases: the agent crashes before its
// rows are written (its successor can't know which keys ran); a label change
// moves the first choice to an agent that has not seen the keys (both may then
// run one); and the agent alone is cut off from the table while another agent,
// which is not, gets the resend. The second and third case execute a call
// twice, so non-idempotent calls stop while the table is unavailable. These
// continue: calls that were claimed before (their outcome is kept in memory and
// written later), responses that are in memory, and all idempotent calls.
//
// # How long a key is remembered
//
// Rows are stored in buckets by era. An era lasts for the keeper's window
// ([EraKeeperConfig.Window]). A row is looked up in the current era and the previous
// one, so a key is remembered for at least one window and at most two. Each
// transaction is conditional on an unchanged era row. A dispatch is accepted
// only in the era in which it was sent and the next one, so that it can't
// outlive the row that blocks it. A sweep reads only the oldest buckets, where
// all rows have expired, so its cost doesn't grow with the number of remembered
// keys. Eras advance by the sum of time spans that the gateways measure on their
// own monotonic clocks ([EraKeeper]); clocks are never compared.
//
// # Rates
//
// All calls that wait while a transaction is in flight go into the next one. A
// process starts at most one transaction per Config.FlushInterval, whatever the
// rate of calls. A call that runs once costs two row writes in such transactions
// and one read. BenchmarkLedger reports the number of transactions at a given
// rate.
package ledger

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Defaults of [Config].
const (
	DefaultWindow         = 24 * kumquatlug.Hour
	DefaultFlushInterval  = 10 * kumquatlug.Millis(1)
	DefaultTimeout        = 2 * kumquatlug.Second
	DefaultBackoff        = 1 * kumquatlug.Second
	DefaultRetryAfter     = 5 * kumquatlug.Second
	DefaultBatchSize      = 33
	DefaultMaxCachedCalls = 1024
	DefaultMaxInlineBytes = 8 << 10
)

// Reasons of refusals that apply to all targets.
const (
	// ReasonTableUnavailable: the table is unavailable, so nothing can be claimed.
	ReasonTableUnavailable = "table_unavailable"
	// ReasonObjectsUnavailable: the object store that holds a large response is unavailable.
	ReasonObjectsUnavailable = "objects_unavailable"
)

// maxConcurrentReads is the maximum number of concurrent reads after a
// conflict. A batch of 33 is then read in about eight round trips, at 2,000
// reads a second or less while a round trip takes 8 ms.
const maxConcurrentReads = 16

// Config configures a [Ledger].
type Config struct {
	// Table stores the rows.
	Table kumquatlug.Table
	// Objects stores responses larger than MaxInlineBytes. The store needs a
	// lifecycle rule that removes objects older than two windows under
	// "outcomes/".
	Objects kumquatlug.Objects
	// Clock is the process's clock.
	Clock kumquatlug.Clock
	// Target is the name of the target that this process serves. A gateway,
	// which only blocks, uses its own name.
	Target string
	// Incarnation is unique to this start of the process. Claims of another
	// incarnation at the same target belong to a process that has ended.
	Incarnation string
	// FlushInterval is the minimum time in milliseconds between the starts of two
	// transactions. A single call is not delayed by it. Default 10: at most a
	// hundred transactions a second, so that three publication workers stay
	// within several hundred writes a second. With n busy targets, n/300
	// seconds keeps the same bound.
	FlushInterval kumquatlug.Millis
	// Timeout is the limit of one read or transaction, in milliseconds; after
	// that its response counts as lost. Default 2000: far above a healthy
	// table's milliseconds, and still short enough for an interactive caller to
	// get a refusal in time.
	Timeout kumquatlug.Millis
	// Backoff is the time without table operations after a failure, in
	// milliseconds; calls are refused at once in the meantime. Default 1000: an
	// outage costs the table one request a second from each process, and its
	// end is noticed within a second.
	Backoff kumquatlug.Millis
	// RetryAfter is the minimum retry delay reported to a refused caller, in
	// milliseconds. Default 5000: outages are long, and callers that retry
	// every second would be a load of their own.
	RetryAfter kumquatlug.Millis
	// BatchSize is the maximum number of calls in one transaction. Default 33: with
	// two conditions and one row each, and the condition on the era, a
	// transaction reaches its limit of a hundred entries.
	BatchSize int
	// MaxCachedCalls is the number of settled calls kept in memory, so that an early
	// resend costs no transaction. Default 1024: 8 MB at MaxInlineBytes each.
	MaxCachedCalls int
	// MaxInlineBytes is the size in bytes above which the body of a response goes to the
	// object store. Default 8192: a receipt fits, a document does not.
	MaxInlineBytes int
}

func (c Config) withDefaults() Config {
	c.FlushInterval = cmp.Or(c.FlushInterval, DefaultFlushInterval)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.Backoff = cmp.Or(c.Backoff, DefaultBackoff)
	c.RetryAfter = cmp.Or(c.RetryAfter, DefaultRetryAfter)
	c.BatchSize = cmp.Or(c.BatchSize, DefaultBatchSize)
	c.MaxCachedCalls = cmp.Or(c.MaxCachedCalls, DefaultMaxCachedCalls)
	c.MaxInlineBytes = cmp.Or(c.MaxInlineBytes, DefaultMaxInlineBytes)
	return c
}

// Ledger holds the claims of one process. It is safe for concurrent use. Claims
// are only made while Run is running.
type Ledger struct {
	config   Config
	wake     chan struct{}
	runEnded chan struct{}
	uploads  sync.WaitGroup

	mu            sync.Mutex
	machine       *stateMachine
	responseChans map[int64]chan response
	flushWaiters  []chan struct{}
	stopped       bool
}

// New validates c and returns an empty ledger.
func New(c Config) (*Ledger, error) {
	if c.Table == nil || c.Objects == nil || c.Clock == nil {
		return nil, errors.New("a ledger needs a table, an object store and a clock")
	}
	if c.Target == "" || c.Incarnation == "" {
		return nil, errors.New("a ledger needs a target and an incarnation")
	}
	c = c.withDefaults()
	return &Ledger{
		config: c, wake: make(chan struct{}, 1), runEnded: make(chan struct{}), machine: newStateMachine(c), responseChans: map[int64]chan response{},
	}, nil
}

// Run performs the ledger's table operations until ctx ends. Calls that still
// wait for a claim at that point are refused as not-run. It must be called
// once.
func (l *Ledger) Run(ctx context.Context) error {
	defer l.uploads.Wait()
	defer l.stop()
	for ctx.Err() == nil {
		op, wait := l.nextOp()
		if op == nil {
			l.idle(ctx, wait)
			continue
		}
		r := l.perform(ctx, op)
		l.update(func() { l.machine.completeOp(r, l.config.Clock.Now()) })
	}
	return nil
}

func (l *Ledger) nextOp() (*tableOp, kumquatlug.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock.Now()
	op := l.machine.nextOp(now)
	l.sendResponses()
	if at := l.machine.nextOpAt(); at > now {
		return op, at - now
	}
	return op, 0
}

// idle waits for a new call, or for the time of the next table operation.
func (l *Ledger) idle(ctx context.Context, wait kumquatlug.Millis) {
	var timer <-chan time.Time
	if wait > 0 {
		timer = time.After(wait.Duration())
	}
	select {
	case <-ctx.Done():
	case <-l.wake:
	case <-timer:
	}
}

func (l *Ledger) perform(ctx context.Context, op *tableOp) tableResult {
	ctx, cancel := context.WithTimeout(ctx, l.config.Timeout.Duration())
	defer cancel()
	if op.isWrite() {
		return tableResult{err: l.config.Table.Commit(ctx, op.tx)}
	}
	rows := make([]kumquatlug.Row, len(op.reads))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentReads)
	for i, key := range op.reads {
		g.Go(func() error {
			r, err := l.config.Table.Get(ctx, key)
			rows[i] = r
			return err
		})
	}
	err := g.Wait()
	return tableResult{rows: rows, err: err}
}

func (l *Ledger) stop() {
	close(l.runEnded)
	l.update(func() {
		l.stopped = true
		l.machine.backoffUntil = l.config.Clock.Now()
		l.machine.refuseAll(l.config.Clock.Now())
	})
}

// update changes the state machine, sends its responses and wakes Run.
func (l *Ledger) update(change func()) {
	l.mu.Lock()
	change()
	l.sendResponses()
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// sendResponses sends the responses of the state machine. l.mu must be held.
func (l *Ledger) sendResponses() {
	for _, resp := range l.machine.takeResponses() {
		if ch, ok := l.responseChans[resp.waiterID]; ok {
			delete(l.responseChans, resp.waiterID)
			ch <- resp
		}
	}
	if l.machine.pending() > 0 {
		return
	}
	for _, ch := range l.flushWaiters {
		close(ch)
	}
	l.flushWaiters = nil
}

// Finish records the outcome of a run, for waiting calls and for resends. It
// does not wait for the table: the response can be sent to its caller at once,
// even during an outage. If the process is killed before the write, a resend
// gets unknown instead of the response; the call never runs again.
func (l *Ledger) Finish(t Ticket, o Outcome) error {
	upload := len(o.body) > l.config.MaxInlineBytes
	var err error
	l.update(func() {
		err = l.machine.finish(t, o, upload)
		if err == nil && upload {
			l.uploads.Add(1)
		}
	})
	if err == nil && upload {
		go l.upload(t, o.body)
	}
	return err
}

// upload puts a large body in the object store and retries until the ledger
// stops.
func (l *Ledger) upload(t Ticket, body []byte) {
	defer l.uploads.Done()
	name := fmt.Sprintf("outcomes/%s/%s", t.id, t.claim)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), l.config.Timeout.Duration())
		err := l.config.Objects.Put(ctx, name, body)
		cancel()
		if err == nil {
			l.update(func() { l.machine.uploaded(t, name) })
			return
		}
		select {
		case <-l.runEnded:
			return
		case <-time.After(l.config.Backoff.Duration()):
		}
	}
}

// Abandon ends a ticket without an outcome. With NotExecuted the key is freed
// for a resend; otherwise its state is permanently unknown.
func (l *Ledger) Abandon(t Ticket, ran kumquatlug.Execution) error {
	var err error
	l.update(func() { err = l.machine.abandon(t, ran) })
	return err
}

// Flush waits until all settled calls are in the table. A graceful shutdown
// calls it between the last response and the end of Run.
func (l *Ledger) Flush(ctx context.Context) error {
	ch := make(chan struct{})
	l.update(func() { l.flushWaiters = append(l.flushWaiters, ch) })
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "flush the ledger")
	}
}

// Pending returns the number of calls that still need the table.
func (l *Ledger) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.pending()
}
