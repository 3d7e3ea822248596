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
	// Many callers send the same few postings through two agents at once, some
	// hang up in the middle, and the table loses answers and fails now and
	// then. A posting that two goroutines run shows up as a count of two, one
	// that a caller who hung up was given as a claim that stays.
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
				if err := counter.sendPosting(t.Context(), agents[r.Intn(2)], fmt.Sprint(i), r); err != nil {
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
			t.Errorf("posting %s ran %d times", key, n)
		}
	}
	for _, l := range agents {
		if err := l.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for key, r := range table.rows {
		if decodeRow(r.Value()).State == stateClaimed {
			t.Errorf("%s is claimed, but all callers have gone", key)
		}
	}
	if len(counter.runs) == 0 {
		t.Error("nothing ran")
	}
	t.Logf("%d of 50 postings ran", len(counter.runs))
}

// sendPosting asks for one call; one in four callers hangs up at once or soon.
func (c *runCounter) sendPosting(ctx context.Context, l *Ledger, key string, r *rand.Rand) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.Intn(4) == 0 {
		go cancel()
	}
	ruling, err := l.Begin(ctx, newTestCall(key, "body", Dispatch{}))
	if err != nil || ruling.Verdict() != VerdictRun {
		return nil
	}
	if r.Intn(5) == 0 {
		return l.Abandon(ruling.Ticket(), kumquatlug.RanNot)
	}
	c.add(key)
	if r.Intn(5) == 0 {
		return l.Abandon(ruling.Ticket(), kumquatlug.RanUnknown)
	}
	return l.Finish(ruling.Ticket(), NewOutcome(200, nil, make([]byte, r.Intn(2*DefaultInline))))
}

func TestClaimIsReleasedWhenCallerDisconnects(t *testing.T) {
	// The right to run arrives at the very moment at which the caller hangs up.
	// If nobody gave it back, the posting would stay claimed for ever, though
	// its caller was told not-run.
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
	if ran := kumquatlug.RanOf(err); ran != kumquatlug.RanNot {
		t.Errorf("told %q", ran)
	}
	if err := l.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	stored := table.rows[rowKey(0, newTestCall("k", "", Dispatch{}).ID())]
	if s := decodeRow(stored.Value()).State; s != stateFree {
		t.Errorf("the row says %q", s)
	}
}
