package ledger

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// runCounter counts the runs of each key.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) add(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key]++
}

func TestConcurrentCallersRunEachCallAtMostOnce(t *testing.T) {
	// Many callers send the same calls through two agents at once, some
	// disconnect early, and commits fail or lose their response. A call that
	// two goroutines run is counted twice; a claim granted to a caller that has
	// disconnected stays in the table as claimed.
	table, objects := newMemoryTable(), newMemoryObjects()
	faults := rand.New(rand.NewSource(5))
	table.commitFault = func() error {
		switch faults.Intn(10) {
		case 0:
			return errors.Mark(errors.New("down"), kumquatlug.ErrUnavailable)
		case 1:
			return errors.Mark(errors.New("timeout"), kumquatlug.ErrLost)
		default:
			return nil
		}
	}
	agents := []*Ledger{
		startLedger(t, table, objects, "gazette-1", "a"),
		startLedger(t, table, objects, "gazette-2", "b"),
	}
	counter := &runCounter{runs: map[string]int{}}
	var g errgroup.Group
	for caller := range 16 {
		g.Go(func() error {
			r := rand.New(rand.NewSource(int64(caller)))
			for i := range 50 {
				if err := counter.sendCall(t.Context(), agents[r.Intn(2)], fmt.Sprint(i), r); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	for key, n := range counter.runs {
		if n > 1 {
			t.Errorf("call %s ran %d times", key, n)
		}
	}
	for _, l := range agents {
		if err := l.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for key, r := range table.rows {
		if decodeRow(r.Value()).State == stateClaimed {
			t.Errorf("%s is still claimed after all callers ended", key)
		}
	}
	if len(counter.runs) == 0 {
		t.Error("no call ran")
	}
	t.Logf("%d of 50 calls ran", len(counter.runs))
}

// sendCall begins one call; one in four callers disconnects at once or soon.
func (c *runCounter) sendCall(ctx context.Context, l *Ledger, key string, r *rand.Rand) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.Intn(4) == 0 {
		go cancel()
	}
	decision, err := l.Begin(ctx, newTestCall(key, "body", Dispatch{}))
	if err != nil || decision.Verdict() != VerdictRun {
		return nil
	}
	if r.Intn(5) == 0 {
		return l.Abandon(decision.Ticket(), kumquatlug.NotExecuted)
	}
	c.add(key)
	if r.Intn(5) == 0 {
		return l.Abandon(decision.Ticket(), kumquatlug.ExecutionUnknown)
	}
	return l.Finish(decision.Ticket(), NewOutcome(200, nil, make([]byte, r.Intn(2*DefaultMaxInlineBytes))))
}

func TestClaimIsReleasedWhenCallerDisconnects(t *testing.T) {
	// The claim is granted at the moment the caller disconnects. If it were not
	// released, the call would stay claimed, though its caller was answered
	// not-run.
	table := newMemoryTable()
	l := startLedger(t, table, newMemoryObjects(), "gazette-1", "a")
	ch := make(chan response, 1)
	var waiterID int64
	l.update(func() {
		waiterID = l.machine.begin(newTestCall("k", "body", Dispatch{}), false, l.config.Clock.Now())
		l.responseChans[waiterID] = ch
	})
	ch <- <-ch
	_, err := l.abandonWait(t.Context(), waiterID, ch, false)
	if ran := kumquatlug.ExecutionOf(err); ran != kumquatlug.NotExecuted {
		t.Errorf("ran = %q, want not-run", ran)
	}
	if err := l.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	stored := table.rows[rowKey(0, newTestCall("k", "", Dispatch{}).ID())]
	if s := decodeRow(stored.Value()).State; s != stateFree {
		t.Errorf("state = %q, want free", s)
	}
}
