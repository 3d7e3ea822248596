package decodeslots

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Requests end and slots are given up after their engine has left. If that recorded the engine
// again, each engine that was ever used would be reported for the life of the process.
func TestEnginesThatLeftAreForgotten(t *testing.T) {
	_, second, id := pair()
	_, held := second.Ask(10, engine(id), false)
	second.Begin(id)
	second.Remove(id)
	second.Abandon(20, held, true)
	second.Release(20, id)
	second.End(20, id)
	if len(second.own) != 0 || len(second.order) != 0 {
		t.Errorf("%d engines are known, %d reported", len(second.own), len(second.order))
	}
}

// A gateway uses thousands of engines in turn. Each Tick must handle only those that have
// requests, once the coordinators know that the others have none.
func TestTickHandlesOnlyUsedEngines(t *testing.T) {
	_, second, id := pair()
	second.Begin(id)
	for i := range 500 {
		other := fmt.Sprint("other-", i)
		second.Begin(other)
		second.Tick(10)
		second.End(11, other)
	}
	for now := kumquatlug.Millis(20); now < 20+2*totalFreshFor; now += 20 {
		second.Tick(now)
	}
	if len(second.own) != 1 || len(second.order) != 1 || second.own[id].running != 1 {
		t.Errorf("%d engines are known, %d reported", len(second.own), len(second.order))
	}
}

// All slots are taken, and the datagram of a denied question arrives a second time. The
// response to the duplicate may overtake the first one, so that it must not grant the slot.
func TestDuplicateOfDeniedQuestionIsDenied(t *testing.T) {
	first, _, id := pair()
	first.HandleCount(5, "front-x", kumquatlug.DecodeCount{Engine: id, Sequence: 1, Count: engineSlots}, engine(id))
	question := kumquatlug.DecodeCount{Engine: id, Sequence: 1, Asks: true}
	for range 2 {
		first.HandleCount(6, "front-y", question, engine(id))
	}
	for _, m := range first.Outbox() {
		if m.Total.Granted {
			t.Errorf("%+v", m.Total)
		}
	}
}

// A question that was granted is repeated by the network. The duplicate must be granted, too,
// since its response may be the one that arrives, and must not take a second slot.
func TestDuplicateOfGrantedQuestionIsGranted(t *testing.T) {
	first, _, id := pair()
	for range 2 {
		first.HandleCount(6, "front-y", kumquatlug.DecodeCount{Engine: id, Sequence: 1, Asks: true}, engine(id))
	}
	out := first.Outbox()
	if len(out) != 2 || !out[1].Total.Granted || out[1].Total.Total != 1 {
		t.Errorf("%+v", out)
	}
}
