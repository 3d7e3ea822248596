// Package ledger sees to it that a call that may not be repeated runs at most
// once, and that a refusal which says "not run" stays true.
//
// The process beside the target makes the claim, right before the run: it
// inserts a row for caller and idempotency key into the platform's table, and
// only if that insert took effect does it run the call, once. Weighed against
// it: a claim made by the entry, which would lie in another process than the
// run, so that every pause or loss between the two would need a second
// agreement. Without the ledger a caller who resends after a lost answer, or
// an entry that retries after a timeout, posts twice.
//
// # States of a row
//
//	absent    nothing is known; any dispatch may claim
//	free N    nothing ran; a dispatch of epoch N or more may claim
//	claimed   one process runs it, or died with it
//	done      it ran; the row holds the answer, or names its object
//	unknown   whether it ran can't be known; it never runs again
//
// A resend after a truthful "not run" must be able to run, while the dispatch
// that was given up must not, however late it arrives. Therefore each dispatch
// carries an epoch, zero at first. An entry that can't account for a dispatch
// of epoch N blocks it: it writes "free N+1". The late dispatch finds a row
// above its epoch and is refused; the resend is refused once as stale, is told
// the new epoch and sent again under it. Weighed against it: a row "blocked"
// for ever (the caller would have to make up a new key for the same posting,
// which is how postings get doubled), and reading the row before each dispatch
// (a read for every call, to save a round trip in a rare case). A claim under
// which nothing ran is given back as "free N": its dispatch has been answered,
// and the entry may send it to the next target under the same epoch.
//
// For a "not run" to be true the entry keeps three rules. A dispatch goes out
// once: a client library that repeats a request by itself, as Go's does for one
// with an Idempotency-Key header and a body it can rewind, leaves a copy that
// nobody accounts for. Once any dispatch of a request is not accounted for, a
// refusal of a later one is not enough; the entry must block. And only
// VerdictBlocked, or a refusal that the agent itself gave as not-run, is told
// as not-run. All sendings of one request carry the era of the first.
//
// # Lost answers and outages
//
// After a lost answer the writer reads the row and looks for its own claim. If
// it is not there the write may still be on its way, so the same claim is
// written again under the same conditions: whichever copy comes second
// conflicts. A claim whose caller was refused meanwhile is released.
//
// When the table is out, a claim is refused at once as not-run. Not built: an
// agent that decides from memory during an outage, since it has seen every
// claim of the keys that it is first choice for. It fails when the agent dies
// before its rows are written (its successor can't know which keys ran), when
// a label change moves the first choice to an agent that has not seen the keys
// (both may then run one), and when the agent alone is cut off from the table
// while another agent, which is not, takes the resend. The second and third
// double a posting; so postings stop while the table is out. What continues:
// calls that were claimed before (their outcome waits in memory and is written
// later), answers that are in memory, and all calls that may be repeated.
//
// # How long a key is remembered
//
// Rows lie in buckets by era. An era is as long as Config.Window; a row is
// looked for in the present era and in the one before, so a key is remembered
// for one window at least and two at most. Each transaction demands that the
// era row is unchanged. A dispatch is let in only in the era in which it was
// sent and the next one, so that it can't outlive the row that blocks it. A
// sweep reads the oldest buckets only, rows that are all due, and its cost
// doesn't grow with what is remembered. Eras advance by the sum of spans that
// the entries measured on their own monotonic clocks ([Keeper]); no two clocks
// are compared.
//
// # Rates
//
// Everything that waits while one transaction is under way goes into the next.
// A process starts at most one transaction per Config.Flush, whatever the rate
// of calls. A call that runs once is two row writes in such transactions and one
// read. BenchmarkLedger gives the transactions of a call at a given rate.
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

// The defaults of [Config].
const (
	DefaultWindow     = 24 * kumquatlug.Hour
	DefaultFlush      = 10 * kumquatlug.Millis(1)
	DefaultTimeout    = 2 * kumquatlug.Second
	DefaultPause      = 1 * kumquatlug.Second
	DefaultRetryAfter = 5 * kumquatlug.Second
	DefaultBatch      = 33
	DefaultKept       = 1024
	DefaultInline     = 8 << 10
)

// Reasons of refusals that hold for every target alike.
const (
	// ReasonTable: the table is out, so that nothing can be claimed.
	ReasonTable = "table_unavailable"
	// ReasonObjects: the object store that keeps a large answer is out.
	ReasonObjects = "objects_unavailable"
)

// maxConcurrentReads bounds the reads under way together after a conflict. A batch of
// 33 is then read in some eight round trips, at 2,000 reads a second or less
// while a round trip takes 8 ms.
const maxConcurrentReads = 16

// Config is what a [Ledger] is made of.
type Config struct {
	// Table keeps the rows.
	Table kumquatlug.Table
	// Objects keeps answers larger than Inline. The store needs a rule of its
	// own that removes what is older than two windows under "outcomes/".
	Objects kumquatlug.Objects
	// Clock is the process's clock.
	Clock kumquatlug.Clock
	// Target is the name of the target that this process stands beside; an
	// entry, which only blocks, gives its own name.
	Target string
	// Incarnation is unique to this start of the process. Claims of another
	// incarnation at the same target are of a process that is gone.
	Incarnation string
	// Flush is the least time in milliseconds between the starts of two
	// transactions. A call that comes alone waits for none of it. Default 10:
	// a hundred transactions a second at most, so that three publication
	// workers stay within several hundred writes a second. With n busy targets
	// n/300 seconds keeps the same bound.
	Flush kumquatlug.Millis
	// Timeout bounds one read or transaction, in milliseconds; its answer
	// counts as lost after that. Default 2000: far above a healthy table's
	// milliseconds, and a caller at a counter still hears a refusal in time.
	Timeout kumquatlug.Millis
	// Pause is how long the table is left alone after a failure, in
	// milliseconds; calls are refused at once meanwhile. Default 1000: an
	// outage costs the table one request a second from each process, and the
	// end of one is noticed within a second.
	Pause kumquatlug.Millis
	// RetryAfter is the least time told to a refused caller, in milliseconds.
	// Default 5000: outages are long; a caller a second would be a load of its
	// own.
	RetryAfter kumquatlug.Millis
	// Batch bounds the calls of one transaction. Default 33: with two conditions
	// and one row each, and the condition on the era, a transaction has its full
	// hundred entries.
	Batch int
	// Kept is how many settled calls stay in memory, so that an early resend
	// costs no transaction. Default 1024: 8 MB at Inline bytes each.
	Kept int
	// Inline is the size in bytes above which an answer's body goes to the
	// object store. Default 8192: a receipt fits, a document does not.
	Inline int
}

func (c Config) withDefaults() Config {
	c.Flush = cmp.Or(c.Flush, DefaultFlush)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.Pause = cmp.Or(c.Pause, DefaultPause)
	c.RetryAfter = cmp.Or(c.RetryAfter, DefaultRetryAfter)
	c.Batch = cmp.Or(c.Batch, DefaultBatch)
	c.Kept = cmp.Or(c.Kept, DefaultKept)
	c.Inline = cmp.Or(c.Inline, DefaultInline)
	return c
}

// Ledger is the claims of one process. It is safe for concurrent use; nothing
// is claimed before Run runs.
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

// New checks c and returns a ledger that is empty.
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

// Run carries out what the ledger asks of the table until ctx ends. Calls that
// still wait for a claim then are refused as not-run. It is called once.
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

// idle waits for a question, or for the time at which the table may be asked.
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

// update changes the book, hands out what came of it and wakes Run.
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

// sendResponses hands out what the book has decided; l.mu is held.
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

// Finish gives the outcome of a run, for those who wait and for resends. It
// does not wait for the table: the answer may go to its caller at once, also
// in an outage. What a kill before the write costs is the answer to a resend,
// which is then told unknown; it is never run again.
func (l *Ledger) Finish(t Ticket, o Outcome) error {
	upload := len(o.body) > l.config.Inline
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

// upload puts a large body in the object store, for as long as that takes.
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
		case <-time.After(l.config.Pause.Duration()):
		}
	}
}

// Abandon gives back a ticket without an outcome. With RanNot the key is freed
// for a resend; otherwise it says unknown for ever.
func (l *Ledger) Abandon(t Ticket, ran kumquatlug.Ran) error {
	var err error
	l.update(func() { err = l.machine.abandon(t, ran) })
	return err
}

// Flush waits until everything that was settled is in the table; a planned
// stop calls it between the last answer and the end of Run.
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

// Pending returns how many calls still need the table.
func (l *Ledger) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.pending()
}
