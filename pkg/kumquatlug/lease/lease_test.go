package lease

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A planner is paused for half a minute, as by a debugger or a frozen VM. When it
// resumes it must not send the role change that it had decided, since another planner
// may hold the lease by then.
func TestPausedHolderLosesLease(t *testing.T) {
	w := newWorld()
	w.pollTable(0, "ok", "ok")
	if token, held := w.holders[0].Held(w.clock(0)); !held || token != 1 {
		t.Fatalf("held %v under %d after acquiring", held, token)
	}
	w.now += 30 * kumquatlug.Second
	if _, held := w.holders[0].Held(w.clock(0)); held {
		t.Fatal("a lease whose TTL ended 15 s ago still counts as held")
	}
	w.pollTable(0, "ok", "ok")
	if token, held := w.holders[0].Held(w.clock(0)); !held || token != 2 {
		t.Fatalf("held %v under %d after acquiring anew", held, token)
	}
}

// A planner's VM is shut down as planned. If its lease were left to expire, the group
// would have no planner for a quarter of a minute at each planned shutdown.
func TestProofReleaseHandsOver(t *testing.T) {
	w := newWorld()
	w.advance(-1, 2*kumquatlug.Second)
	w.holders[0].SetWanted(false)
	w.pollTable(0, "ok", "ok")
	if minToken := w.record.MinFencingToken(); minToken != 2 {
		t.Errorf("after the release the lowest accepted token is %d, want 2", minToken)
	}
	w.advance(-1, 6*kumquatlug.Second)
	_, held1 := w.holders[1].Held(w.clock(1))
	_, held2 := w.holders[2].Held(w.clock(2))
	if !w.holders[0].Released(w.clock(0)) || held1 == held2 || w.err != nil {
		t.Fatalf("released %v, held by the others %v and %v: %v",
			w.holders[0].Released(w.clock(0)), held1, held2, w.err)
	}
}

// All processes are killed at the same time and restart a second later. If the holder
// waited for its own lease to expire, and then for the handover delay after its own
// orders, engines would stay in the wrong roles for ten seconds, just when all callers
// reconnect.
func TestRestartedHolderOrdersAtOnce(t *testing.T) {
	w := newWorld()
	w.pollTable(0, "ok", "ok")
	w.advance(-1, 6*kumquatlug.Second)
	if !w.holders[0].MayOrder(w.clock(0)) {
		t.Fatal("the first holder may not send orders")
	}
	for i := range w.holders {
		w.restartHolder(i)
	}
	w.now += kumquatlug.Second
	w.pollTable(0, "ok", "ok")
	if !w.holders[0].MayOrder(w.clock(0)) {
		t.Error("the restarted holder may not send orders")
	}
	w.advance(0, 30*kumquatlug.Second)
	for i := 1; i < holderCount; i++ {
		if w.holders[i].MayOrder(w.clock(i)) {
			return
		}
	}
	t.Error("no process takes over from a stopped holder")
}

// A deployment has many gateways, and each read of the lease is a billed call. With a
// long poll interval one of them still takes over soon after the holder has stopped.
func TestManyProcessesPollSlowly(t *testing.T) {
	const gatewayCount, renew, pollInterval = 12, 1500, 6000
	var holders []*Holder
	for i := range gatewayCount {
		h, err := New(Config{Group: "g", HolderID: fmt.Sprintf("f%d/a", i), TTL: 4500, Margin: 700, RenewInterval: renew, RetryDelay: 500})
		if err != nil {
			t.Fatal(err)
		}
		h.SetPollInterval(pollInterval)
		holders = append(holders, h)
	}
	row, reads, stoppedAt := kumquatlug.NewRow(Key("g"), nil, 0), 0, kumquatlug.Millis(30_000)
	tookOver := kumquatlug.Millis(0)
	for now := kumquatlug.Millis(1); now < 60_000 && tookOver == 0; now++ {
		for i, h := range holders {
			if i == 0 && now > stoppedAt || now < kumquatlug.Millis(i)*500 {
				continue
			}
			for in := h.Next(now); in.Action() != ActionNone; {
				if in.Action() == ActionRead {
					reads++
					in = h.HandleResponse(now, in, row, nil)
					continue
				}
				row = kumquatlug.NewRow(row.Key(), in.Tx().Writes()[0].Value(), row.Version()+1)
				in = h.HandleResponse(now, in, kumquatlug.Row{}, nil)
			}
			if _, held := h.Held(now); held && i > 0 {
				tookOver = now
			}
		}
	}
	if tookOver == 0 || tookOver-stoppedAt > 9000 {
		t.Errorf("taken over %d ms after the holder stopped", tookOver-stoppedAt)
	}
	if perSecond := float64(reads) / (float64(tookOver) / 1000); perSecond > 3.5 {
		t.Errorf("%.1f reads per second by %d gateways", perSecond, gatewayCount)
	}
}

// A holder stops, and another process polls the row at an interval slightly shorter
// than the row's time to expire. With regular polls alone it would take over only
// after two intervals, and the group would have no holder meanwhile.
func TestUnchangedRowIsReadAtExpiry(t *testing.T) {
	h, err := New(Config{Group: "g", HolderID: "b/1", TTL: 4500, Margin: 700, RenewInterval: 1500, RetryDelay: 500, Timeout: 1000})
	if err != nil {
		t.Fatal(err)
	}
	h.SetPollInterval(5000)
	row := kumquatlug.NewRow(Key("g"), Record{holder: "a/1", fencingToken: 3, ttl: 4500}.encode(), 7)
	var readTimes []kumquatlug.Millis
	for now := kumquatlug.Millis(0); now < 12_000; now += 100 {
		i := h.Next(now)
		if i.Action() == ActionNone {
			continue
		}
		readTimes = append(readTimes, now)
		if i = h.HandleResponse(now, i, row, nil); i.Action() == ActionAcquire {
			break
		}
	}
	if fmt.Sprint(readTimes) != "[0 5000 5200]" {
		t.Errorf("rows read at %v ms", readTimes)
	}
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	for _, c := range []Config{
		{Group: "g"}, {HolderID: "a"}, {Group: "g", HolderID: "a", TTL: 5000, RenewInterval: 4500, Margin: 500},
	} {
		if _, err := New(c); err == nil {
			t.Errorf("%+v was accepted", c)
		}
	}
}

func Example() {
	h, _ := New(Config{Group: "draft", HolderID: "entry-1/a"})
	now := kumquatlug.Millis(0)
	read := h.Next(now)
	acquire := h.HandleResponse(now, read, kumquatlug.Row{}, nil)
	fmt.Println(read.Action(), acquire.Action(), string(acquire.Tx().Writes()[0].Value()))
	h.HandleResponse(now, acquire, kumquatlug.Row{}, nil)
	fmt.Println(h.Held(now))
	fmt.Println(h.Held(14 * kumquatlug.Second))
	// Output:
	// read acquire {"holder":"entry-1/a","number":1,"ttl_ms":15000,"attempt":"entry-1/a/2","settled":true}
	// 1 true
	// 1 false
}

func BenchmarkHeld(b *testing.B) {
	h, _ := New(Config{Group: "g", HolderID: "a"})
	b.ReportAllocs()
	for b.Loop() {
		h.Held(1)
	}
}

func BenchmarkRenewal(b *testing.B) {
	h, _ := New(Config{Group: "g", HolderID: "a"})
	row, version, now := kumquatlug.Row{}, int64(0), kumquatlug.Millis(0)
	b.ReportAllocs()
	for b.Loop() {
		commit := h.HandleResponse(now, h.Next(now), row, nil)
		version++
		row = kumquatlug.NewRow(commit.Key(), commit.Tx().Writes()[0].Value(), version)
		h.HandleResponse(now, commit, kumquatlug.Row{}, nil)
		now += 5 * kumquatlug.Second
	}
}
