package ledger

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// setEra writes the era row.
func setEra(t *testing.T, table *memoryTable, era int64) {
	t.Helper()
	table.mu.Lock()
	defer table.mu.Unlock()
	if err := table.apply(kumquatlug.NewTx("era").Put(eraKey, formatNumber(era))); err != nil {
		t.Fatal(err)
	}
}

func TestBlockOutlivesItsDispatch(t *testing.T) {
	// A key was blocked in an earlier era, and a new dispatch of it is blocked
	// too. If the old row counted as the block, it would be swept while the new
	// dispatch may still arrive, and that would run after its caller was
	// answered not-run.
	table, objects := newMemoryTable(), newMemoryObjects()
	gateway := startLedger(t, table, objects, "entry-1", "e")
	agent := startLedger(t, table, objects, "gazette-1", "a")
	ctx := t.Context()
	r, err := gateway.Block(ctx, newTestCall("k", "body", NewDispatch(0, 0)))
	wantVerdict(t, r, err, VerdictBlocked)
	setEra(t, table, 1)
	r, err = gateway.Block(ctx, newTestCall("k", "body", NewDispatch(1, 0)))
	wantVerdict(t, r, err, VerdictBlocked)
	setEra(t, table, 2)
	r, err = agent.Begin(ctx, newTestCall("k", "body", NewDispatch(1, 0)))
	wantVerdict(t, r, err, VerdictStale)
}

func TestBlockOfSweptRunIsUnknown(t *testing.T) {
	// A call ran, its response was lost, and its gateway was paused until the
	// row was swept. In the meantime the key was blocked by another gateway,
	// and the call was sent to a second target, which refused it. Neither the
	// missing row nor the other block proves that the call did not run.
	table, objects := newMemoryTable(), newMemoryObjects()
	gateway := startLedger(t, table, objects, "entry-1", "e")
	slow := startLedger(t, table, objects, "entry-2", "s")
	agent := startLedger(t, table, objects, "gazette-1", "a")
	second := startLedger(t, table, objects, "gazette-2", "b")
	ctx := t.Context()
	for _, l := range []*Ledger{slow, second} {
		r, err := l.Block(ctx, newTestCall("another", "body", Dispatch{}))
		wantVerdict(t, r, err, VerdictBlocked)
	}
	r, err := agent.Begin(ctx, newTestCall("k", "body", NewDispatch(0, 0)))
	ticket := wantVerdict(t, r, err, VerdictRun).Ticket()
	if err := agent.Finish(ticket, NewOutcome(200, nil, nil)); err != nil {
		t.Fatal(err)
	}
	if err := agent.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	setEra(t, table, 2)
	r, err = gateway.Block(ctx, newTestCall("k", "body", NewDispatch(2, 0)))
	wantVerdict(t, r, err, VerdictBlocked)
	r, err = slow.Block(ctx, newTestCall("k", "body", NewDispatch(0, 0)))
	wantVerdict(t, r, err, VerdictUnknown)
	r, err = second.Begin(ctx, newTestCall("k", "body", NewDispatch(0, 0)))
	again := wantVerdict(t, r, err, VerdictStale).Dispatch()
	r, err = gateway.Block(ctx, newTestCall("k", "body", again))
	wantVerdict(t, r, err, VerdictUnknown)
}

func TestDispatchTwoErasOldIsRefused(t *testing.T) {
	// A paused process delivers a dispatch after two windows. The row that
	// blocked it has been swept, and its caller was answered not-run.
	table := newMemoryTable()
	agent := startLedger(t, table, newMemoryObjects(), "gazette-1", "a")
	setEra(t, table, 2)
	_, err := agent.Begin(t.Context(), newTestCall("k", "body", NewDispatch(0, 0)))
	if f := kumquatlug.FailureOf(err); f.Execution() != kumquatlug.NotExecuted || f.Reason() != "dispatch_too_old" {
		t.Errorf("failure = %v", err)
	}
}

func TestClaimIsNotPassedToBlockedDispatch(t *testing.T) {
	// While the claim of a resend is being written, the dispatch that it
	// replaces arrives late and waits for the same claim. Then the resend's
	// gateway disconnects. The claim must be released and not granted to the
	// late dispatch, whose caller was answered not-run.
	table := newMemoryTable()
	m := newStateMachine(Config{Target: "gazette-1", Incarnation: "a", FlushInterval: 1}.withDefaults())
	resend := m.begin(newTestCall("k", "body", NewDispatch(0, 1)), false, 0)
	performOp(m, table, m.nextOp(0), 0)
	claim := m.nextOp(0)
	late := m.begin(newTestCall("k", "body", NewDispatch(0, 0)), false, 0)
	if ran, open := m.cancelWaiter(resend); ran != kumquatlug.NotExecuted || !open {
		t.Errorf("cancelWaiter of the resend = %q, %v", ran, open)
	}
	performOp(m, table, claim, 0)
	for now := kumquatlug.Millis(1); m.pending() > 0; now++ {
		if op := m.nextOp(now); op != nil {
			performOp(m, table, op, now)
		}
	}
	got := m.takeResponses()
	if len(got) != 1 || got[0].waiterID != late || got[0].decision.verdict != VerdictStale {
		t.Errorf("responses = %+v", got)
	}
}

// tickKeeper runs one tick, which may conflict with another keeper's write.
func tickKeeper(t *testing.T, k *EraKeeper) {
	t.Helper()
	err := k.Tick(t.Context())
	if err != nil && !errors.Is(err, kumquatlug.ErrConflict) {
		t.Fatal(err)
	}
}

func TestEraIsNeverShorterThanItsWindow(t *testing.T) {
	// Three gateways measure the same era; one starts late and one is restarted
	// repeatedly. If two of them counted the same minute, rows would be swept
	// before the window ended and a late resend would run the call again.
	table := newMemoryTable()
	clocks := []*clock.Manual{clock.NewManual(7), clock.NewManual(500_000), clock.NewManual(0)}
	keeper := func(i, incarnation int) *EraKeeper {
		k, err := NewEraKeeper(EraKeeperConfig{
			Table: table, Clock: clocks[i], Incarnation: fmt.Sprint(i, incarnation),
			Window: kumquatlug.Hour, Interval: kumquatlug.Minute,
		})
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	keepers := []*EraKeeper{keeper(0, 0), keeper(1, 0), keeper(2, 0)}
	var began, now kumquatlug.Millis
	var era int64
	for step := range 1000 {
		now += 20 * kumquatlug.Second
		for _, c := range clocks {
			c.Advance(20 * kumquatlug.Second)
		}
		if step%7 == 0 {
			keepers[2] = keeper(2, step)
		}
		tickKeeper(t, keepers[step%3])
		tickKeeper(t, keepers[(step+1)%3])
		d, _ := keepers[step%3].Dispatch()
		if d.Era() == era {
			continue
		}
		if now-began < kumquatlug.Hour || d.Era() != era+1 {
			t.Fatalf("era %d began %d ms after era %d", d.Era(), now-began, era)
		}
		began, era = now, d.Era()
	}
	if era < 3 {
		t.Errorf("only %d eras in %d ms", era, now)
	}
}

func TestSweepRemovesOnlyExpiredRows(t *testing.T) {
	// The table holds rows of three eras. Removing a row that has not expired
	// would let a resend within the window run again.
	table := newMemoryTable()
	tx := kumquatlug.NewTx("rows").Put(eraKey, formatNumber(2)).Put(clockKey, formatNumber(0))
	for era := range int64(3) {
		for i := range 5 {
			tx = tx.Put(rowKey(era, fmt.Sprint(i)), row{State: stateDone}.encode())
		}
	}
	if err := table.apply(tx); err != nil {
		t.Fatal(err)
	}
	c := clock.NewManual(0)
	k, err := NewEraKeeper(EraKeeperConfig{Table: table, Clock: c, Incarnation: "e", PageSize: 3})
	if err != nil {
		t.Fatal(err)
	}
	tickKeeper(t, k)
	c.Advance(kumquatlug.Minute)
	tickKeeper(t, k)
	rows, err := table.Scan(t.Context(), rowPrefix, "", 100)
	if err != nil || len(rows) != 10 || rows[0].Key() < eraPrefix(1) {
		t.Errorf("%d rows left, error %v", len(rows), err)
	}
}
