package decodeslots

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Without shared counts several gateways choose the same engine, whose streams then wait or
// preempt each other. With them no engine may have more streams than slots, in bursts as well,
// and requests without denials may cost three messages at most.
func TestNoEngineExceedsItsSlots(t *testing.T) {
	apart, shared := newCluster(false), newCluster(true)
	apart.play(8000)
	shared.play(8000)
	requests := shared.arrived[promptMs] + shared.arrived[questionMs]
	perRequest := float64(shared.messages) / float64(requests)
	t.Logf("streams beyond the slots: %d without and %d with shared counts; %.2f messages for each of %d requests", apart.maxExcess, shared.maxExcess, perRequest, requests)
	if apart.maxExcess < 4 {
		t.Errorf("the load does not exceed the slots without shared counts: %d", apart.maxExcess)
	}
	if shared.maxExcess > 0 {
		t.Errorf("an engine had %d streams beyond its slots", shared.maxExcess)
	}
}

// A rule that favors short outputs would let questions wait for ever in an overload.
func TestLongOutputsAreServedAsOftenAsShortOnes(t *testing.T) {
	c := newCluster(true)
	c.play(12_000)
	short := float64(c.served[promptMs]) / float64(c.arrived[promptMs])
	// Those that arrived last still decode.
	long := float64(c.served[questionMs]) / (float64(c.arrived[questionMs]) * (12_000 - questionMs) / 12_000)
	t.Logf("served: %.2f of the prompts, %.2f of the questions", short, long)
	if long < short/2 {
		t.Errorf("served: %.2f of the prompts, %.2f of the questions", short, long)
	}
}

// Datagrams are lost, repeated and arrive out of order. Counts that drifted would leave
// slots unused or exceed them; here the excess is bounded by the requests that go ahead
// without a response.
func TestLostAndReorderedMessagesDoNotAccumulate(t *testing.T) {
	c := newCluster(true)
	c.load, c.lossRate, c.duplicateRate, c.maxDelay = 0.7, 0.05, 0.05, 7
	c.play(6000)
	t.Logf("streams beyond the slots: %d", c.maxExcess)
	if c.maxExcess > engineSlots/2 {
		t.Errorf("streams beyond the slots: %d", c.maxExcess)
	}
	c.lossRate, c.duplicateRate, c.maxDelay = 0, 0, 2
	c.play(9000)
	for i := range engineCount {
		if got, want := c.total(engineName(i)), c.running[engineName(i)]; got < want-1 || got > want+4 {
			t.Errorf("%s: counted %d, running %d", engineName(i), got, want)
		}
	}
}

// total returns the count of an engine's coordinator.
func (c *cluster) total(engine string) int {
	for i, known := range c.coordinators {
		if known.IsCoordinator(c.now, engine) && !c.offline[i] {
			return c.gateways[i].taken(c.now, Engine{ID: engine})
		}
	}
	return -1
}

// A coordinator disappears, and another one counts in its place. A frozen one answers again
// after three seconds with counts that have expired. Meanwhile, requests go ahead without a
// grant, and the excess has to end when the counts are known again.
func TestCoordinatorReplacedOrFrozen(t *testing.T) {
	for name, resumes := range map[string]bool{"gone": false, "frozen": true} {
		c := newCluster(true)
		c.play(3000)
		stopped := 0
		for !c.coordinators[stopped].IsCoordinator(c.now, engineName(0)) {
			stopped++
		}
		c.setOffline(stopped, true)
		c.play(6000)
		during := c.maxExcess
		if resumes {
			c.setOffline(stopped, false)
		}
		// The streams that went ahead have ended by then.
		c.play(8000 + questionMs)
		c.maxExcess = 0
		c.play(11_000 + questionMs)
		t.Logf("%s: streams beyond the slots: %d meanwhile, %d afterwards", name, during, c.maxExcess)
		if during > engineSlots || c.maxExcess > 0 {
			t.Errorf("%s: streams beyond the slots: %d meanwhile, %d afterwards", name, during, c.maxExcess)
		}
	}
}

// pair returns two gateways, of which the first coordinates the engine.
func pair() (first, second *Slots, id string) {
	c := newCluster(true)
	id = engineName(0)
	for i, known := range c.coordinators {
		if known.IsCoordinator(0, id) {
			return c.gateways[i], c.gateways[(i+1)%gatewayCount], id
		}
	}
	return nil, nil, ""
}

// exchange delivers messages until there are none.
func exchange(now kumquatlug.Millis, first, second *Slots) []Decision {
	var decisions []Decision
	for {
		sent := append(first.Outbox(), second.Outbox()...)
		if len(sent) == 0 {
			return decisions
		}
		for _, m := range sent {
			if m.Count != nil {
				first.HandleCount(now, second.config.Self, *m.Count, engine(m.Count.Engine))
			} else if d, expected := second.HandleTotal(now, first.config.Self, *m.Total); expected {
				decisions = append(decisions, d)
			}
		}
	}
}

// A gateway dies while it holds all slots. They have to be free after two seconds, and not
// before: a gateway may only have lost some messages.
func TestSlotsOfDeadGatewayExpire(t *testing.T) {
	first, second, id := pair()
	first.HandleCount(0, "front-x", kumquatlug.DecodeCount{Engine: id, Sequence: 1, Count: engineSlots}, engine(id))
	want := Denied
	for _, now := range []kumquatlug.Millis{1900, 2100} {
		first.Tick(now)
		second.Ask(now, engine(id), false)
		if got := exchange(now, first, second); len(got) != 1 || got[0] != want {
			t.Errorf("after %d ms: %v, want %s", now, got, want)
		}
		want = Granted
	}
}

// An old message arrives after a newer one. If it counted, slots would be taken by requests
// that have ended.
func TestOlderSequenceIsIgnored(t *testing.T) {
	first, _, id := pair()
	first.HandleCount(10, "front-x", kumquatlug.DecodeCount{Engine: id, Sequence: 8, Count: 1}, engine(id))
	first.HandleCount(11, "front-x", kumquatlug.DecodeCount{Engine: id, Sequence: 7, Count: 9, Asks: true}, engine(id))
	if got := first.taken(11, engine(id)); got != 1 {
		t.Errorf("%d slots are taken", got)
	}
	if out := first.Outbox(); len(out) != 1 || !out[0].Total.Granted || out[0].Total.Total != 1 {
		t.Errorf("response to a question that was overtaken: %+v", out)
	}
}

// Two gateways consider themselves coordinator, each with a part of the counts. An engine may
// have at most twice its streams then. Both responding to the same gateway would double its
// requests; one that is asked without being coordinator stays silent.
func TestTwoCoordinatorsGrantTheirPartEach(t *testing.T) {
	c := newCluster(true)
	id, granted, coordinating := engineName(0), 0, 0
	first := c.coordinators[0].Coordinator(0, id)
	for i, s := range c.gateways {
		if c.names[i] != first {
			c.coordinators[i].PeerTimedOut(0, first)
		}
		if !c.coordinators[i].IsCoordinator(0, id) {
			s.HandleCount(5, "front-x", kumquatlug.DecodeCount{Engine: id, Sequence: 1, Asks: true}, engine(id))
			if len(s.Outbox()) != 0 {
				t.Errorf("%s responds without being coordinator", c.names[i])
			}
			continue
		}
		coordinating++
		for range 2 * engineSlots {
			if d, _ := s.Ask(10, engine(id), false); d == Granted {
				granted++
			}
		}
	}
	if coordinating != 2 || granted != 2*engineSlots {
		t.Errorf("%d coordinators granted %d slots", coordinating, granted)
	}
}

// A coordinator that was just replaced knows no counts. If it took its engine for empty, it
// would grant all slots a second time.
func TestNewCoordinatorUsesEstimate(t *testing.T) {
	first, _, id := pair()
	full := Engine{ID: id, Slots: engineSlots, Estimate: engineSlots}
	if d, _ := first.Ask(100, full, false); d != Denied {
		t.Errorf("%s by a new coordinator", d)
	}
	for now := kumquatlug.Millis(120); now < 800; now += 20 {
		first.Tick(now)
	}
	if d, _ := first.Ask(800, full, false); d != Granted {
		t.Errorf("%s although no gateway has requests there", d)
	}
}

// A coordinator does not respond. Each request would wait for AnswerTimeout; after three it is
// not asked for a second, and it is used again as soon as it responds.
func TestSilentCoordinatorIsNotAsked(t *testing.T) {
	first, second, id := pair()
	for range maxUnanswered {
		_, sequence := second.Ask(10, engine(id), false)
		second.Abandon(18, sequence, true)
	}
	if d, _ := second.Ask(20, engine(id), false); d != Unanswered {
		t.Errorf("%s at a silent coordinator", d)
	}
	changes := second.Changes()
	exchange(30, first, second)
	if d, _ := second.Ask(31, engine(id), false); d != Pending {
		t.Errorf("%s after a late response", d)
	}
	changes = append(changes, second.Changes()...)
	if len(changes) != 2 || changes[0].Answers() || !changes[1].Answers() || changes[0].Gateway() != first.config.Self {
		t.Errorf("changes %+v", changes)
	}
}

// An engine drains or restarts. A draining one grants nothing; after a restart the requests of
// its predecessor take no slots.
func TestDrainedAndRestartedEngine(t *testing.T) {
	first, second, id := pair()
	if d, _ := first.Ask(0, Engine{ID: id}, false); d != Denied {
		t.Errorf("%s at an engine that drains", d)
	}
	second.Begin(id)
	second.Tick(10)
	exchange(10, first, second)
	first.Reset(id)
	second.Reset(id)
	second.Tick(20)
	exchange(20, first, second)
	if got := first.taken(30, engine(id)); got != 0 {
		t.Errorf("%d slots taken after a restart", got)
	}
}

// A grant is one question, one response and one message at the end, also if the request
// begins meanwhile. Streams with little time left until their latency target don't wait.
func TestThreeMessagesForEachRequest(t *testing.T) {
	first, second, id := pair()
	second.Begin(id)
	second.Ask(0, engine(id), true)
	sent := len(second.outbox)
	exchange(1, first, second)
	second.Tick(20)
	second.End(120, id)
	second.Tick(140)
	if sent += len(second.outbox); sent != 2 {
		t.Errorf("%d messages sent besides the response", sent)
	}
	exchange(141, first, second)
	if got := first.taken(141, engine(id)); got != 0 {
		t.Errorf("%d slots are taken", got)
	}
	if HoldTime(10) != 0 || HoldTime(-5) != 0 || HoldTime(100) != 50 {
		t.Errorf("hold times %d, %d, %d", HoldTime(10), HoldTime(-5), HoldTime(100))
	}
}
