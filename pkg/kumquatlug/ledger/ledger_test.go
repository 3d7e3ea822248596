package ledger

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startLedger runs a ledger for target on table until the test ends.
func startLedger(t *testing.T, table *memoryTable, objects *memoryObjects, target, incarnation string) *Ledger {
	t.Helper()
	l, err := New(Config{
		Table: table, Objects: objects, Clock: clock.NewMonotonic(),
		Target: target, Incarnation: incarnation, FlushInterval: 1, Backoff: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l
}

func newTestCall(key, body string, d Dispatch) Call {
	return NewCall(CallConfig{Caller: "registry", Key: key, Fingerprint: body, Dispatch: d})
}

func wantVerdict(t *testing.T, r Decision, err error, verdict Verdict) Decision {
	t.Helper()
	if err != nil || r.Verdict() != verdict {
		t.Fatalf("verdict = %q, error %v, want %q", r.Verdict(), err, verdict)
	}
	return r
}

func TestResendThroughAnotherTargetGetsStoredResponse(t *testing.T) {
	// The caller's connection breaks after the call ran, and it sends the call
	// again. A label change routes the resend to another target, which would
	// run it a second time if there were no row.
	for _, size := range []int{10, DefaultMaxInlineBytes + 1} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			table, objects := newMemoryTable(), newMemoryObjects()
			first := startLedger(t, table, objects, "gazette-1", "a")
			second := startLedger(t, table, objects, "gazette-2", "b")
			ctx := t.Context()
			r, err := first.Begin(ctx, newTestCall("k", "body", Dispatch{}))
			ticket := wantVerdict(t, r, err, VerdictRun).Ticket()
			r, err = second.Begin(ctx, newTestCall("k", "body", Dispatch{}))
			if holder := wantVerdict(t, r, err, VerdictElsewhere).Holder(); holder.Target() != "gazette-1" {
				t.Errorf("holder = %q", holder.Target())
			}
			body := bytes.Repeat([]byte("x"), size)
			if err := first.Finish(ticket, NewOutcome(201, nil, body)); err != nil {
				t.Fatal(err)
			}
			if err := first.Flush(ctx); err != nil {
				t.Fatal(err)
			}
			for _, l := range []*Ledger{first, second} {
				r, err = l.Begin(ctx, newTestCall("k", "body", Dispatch{}))
				o := wantVerdict(t, r, err, VerdictResponse).Outcome()
				if o.Status() != 201 || !bytes.Equal(o.Body(), body) {
					t.Errorf("response = %d with %d bytes", o.Status(), len(o.Body()))
				}
				r, err = l.Begin(ctx, newTestCall("k", "other", Dispatch{}))
				wantVerdict(t, r, err, VerdictConflict)
			}
		})
	}
}

func TestBlockedDispatchStaysBlockedAndItsResendRuns(t *testing.T) {
	// A dispatch is delayed in the network. The gateway blocks it and answers
	// the caller not-run, and the caller sends the call again. Then the first
	// dispatch arrives.
	table, objects := newMemoryTable(), newMemoryObjects()
	gateway := startLedger(t, table, objects, "entry-1", "e")
	agent := startLedger(t, table, objects, "gazette-1", "a")
	ctx := t.Context()
	r, err := gateway.Block(ctx, newTestCall("k", "body", Dispatch{}))
	next := wantVerdict(t, r, err, VerdictBlocked).Dispatch()
	r, err = agent.Begin(ctx, newTestCall("k", "body", Dispatch{}))
	if got := wantVerdict(t, r, err, VerdictStale).Dispatch(); got != next {
		t.Errorf("resend dispatch = %v, want %v", got, next)
	}
	r, err = agent.Begin(ctx, newTestCall("k", "body", next))
	wantVerdict(t, r, err, VerdictRun)
	r, err = gateway.Block(ctx, newTestCall("k", "body", next))
	wantVerdict(t, r, err, VerdictElsewhere)
}

func TestRestartedAgentReportsUnknown(t *testing.T) {
	// The agent is killed between the claim and the end of the run. Whether the
	// call took effect can't be known, so a resend must not run it.
	table, objects := newMemoryTable(), newMemoryObjects()
	before := startLedger(t, table, objects, "gazette-1", "a")
	after := startLedger(t, table, objects, "gazette-1", "b")
	ctx := t.Context()
	r, err := before.Begin(ctx, newTestCall("k", "body", Dispatch{}))
	wantVerdict(t, r, err, VerdictRun)
	r, err = after.Begin(ctx, newTestCall("k", "body", Dispatch{}))
	wantVerdict(t, r, err, VerdictUnknown)
}

func TestTableOutageRefusesAsNotRun(t *testing.T) {
	// The table is unavailable. The caller must get a not-run refusal with a
	// retry delay at once, and not wait until its deadline.
	table := newMemoryTable()
	table.commitFault = func() error { return errors.Mark(errors.New("down"), kumquatlug.ErrUnavailable) }
	l := startLedger(t, table, newMemoryObjects(), "gazette-1", "a")
	_, err := l.Begin(t.Context(), newTestCall("k", "body", Dispatch{}))
	f := kumquatlug.FailureOf(err)
	if f.Execution() != kumquatlug.NotExecuted || f.RetryAfter() < DefaultRetryAfter {
		t.Errorf("failure = %v, retry after %d ms", f, f.RetryAfter())
	}
}

func TestLostCommitResponsesAreReadBack(t *testing.T) {
	// The response of every commit is lost after the write took effect.
	// Treating that as a failure would refuse calls that were claimed.
	table := newMemoryTable()
	table.commitFault = func() error { return errors.Mark(errors.New("timeout"), kumquatlug.ErrLost) }
	l := startLedger(t, table, newMemoryObjects(), "gazette-1", "a")
	r, err := l.Begin(t.Context(), newTestCall("k", "body", Dispatch{}))
	ticket := wantVerdict(t, r, err, VerdictRun).Ticket()
	if err := l.Finish(ticket, NewOutcome(200, nil, nil)); err != nil {
		t.Fatal(err)
	}
	if err := l.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func TestConflictDoesNotFailOtherCallsInBatch(t *testing.T) {
	// Half of the calls of a burst are resends of calls that another target has
	// claimed. They share transactions with new calls, which must still run.
	table, objects := newMemoryTable(), newMemoryObjects()
	other := startLedger(t, table, objects, "gazette-2", "b")
	l := startLedger(t, table, objects, "gazette-1", "a")
	const calls = 200
	for i := 0; i < calls; i += 2 {
		r, err := other.Begin(t.Context(), newTestCall(fmt.Sprint(i), "body", Dispatch{}))
		wantVerdict(t, r, err, VerdictRun)
	}
	before := table.commits
	var g errgroup.Group
	verdicts := make([]Verdict, calls)
	for i := range calls {
		g.Go(func() error {
			r, err := l.Begin(t.Context(), newTestCall(fmt.Sprint(i), "body", Dispatch{}))
			verdicts[i] = r.Verdict()
			return err
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	for i, v := range verdicts {
		if want := []Verdict{VerdictElsewhere, VerdictRun}[i%2]; v != want {
			t.Errorf("call %d: %q, want %q", i, v, want)
		}
	}
	t.Logf("%d calls took %d transactions", calls, table.commits-before)
}

func ExampleLedger() {
	l, _ := New(Config{
		Table: newMemoryTable(), Objects: newMemoryObjects(), Clock: clock.NewMonotonic(),
		Target: "gazette-1", Incarnation: "first",
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- l.Run(ctx) }()
	call := NewCall(CallConfig{Caller: "registry", Key: "decree-7", Fingerprint: "hash"})
	r, _ := l.Begin(ctx, call)
	fmt.Println(r.Verdict())
	_ = l.Finish(r.Ticket(), NewOutcome(201, nil, []byte("published")))
	r, _ = l.Begin(ctx, call)
	fmt.Println(r.Verdict(), string(r.Outcome().Body()))
	_ = l.Flush(ctx)
	cancel()
	fmt.Println(<-done)
	// Output:
	// run
	// answer published
	// <nil>
}

// slowTable delays each commit, like a table behind a network.
type slowTable struct {
	*memoryTable
	answer *time.Ticker
}

func (s slowTable) Commit(ctx context.Context, tx kumquatlug.Tx) error {
	<-s.answer.C
	return s.memoryTable.Commit(ctx, tx)
}

func BenchmarkLedger(b *testing.B) {
	for _, rate := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("%d calls a second", rate), func(b *testing.B) {
			table := slowTable{memoryTable: newMemoryTable(), answer: time.NewTicker(2 * time.Millisecond)}
			defer table.answer.Stop()
			l, err := New(Config{
				Table: table, Objects: newMemoryObjects(), Clock: clock.NewMonotonic(),
				Target: "gazette-1", Incarnation: "a",
			})
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- l.Run(ctx) }()
			arrivals := time.NewTicker(time.Second / time.Duration(rate))
			defer arrivals.Stop()
			var g errgroup.Group
			for i := range b.N {
				<-arrivals.C
				g.Go(func() error {
					r, err := l.Begin(ctx, newTestCall(fmt.Sprint(i), "body", Dispatch{}))
					if err != nil {
						return err
					}
					return l.Finish(r.Ticket(), NewOutcome(200, nil, nil))
				})
			}
			if err := errors.Join(g.Wait(), l.Flush(ctx)); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(table.commits)/b.Elapsed().Seconds(), "transactions/s")
			cancel()
			if err := <-done; err != nil {
				b.Fatal(err)
			}
		})
	}
}
