package timeline

import (
	"bytes"
	"encoding/json"
	"testing"
)

// A gateway sends work to an agent whose wall clock is behind. Ordered by wall
// clock, the work would start before it was sent.
func TestMergeOrdersByLogicalClock(t *testing.T) {
	gateway, agent := NewRing("gateway", 8), NewRing("agent", 8)
	sent := gateway.Add(Record{Name: Sent, RequestID: "r"})
	agent.Witness(sent)
	agent.Add(Record{Name: WorkBegun, RequestID: "r"})
	agentEvents, _ := agent.After(0, "r")
	agentEvents[0].WallMs -= 60_000
	gatewayEvents, _ := gateway.After(0, "r")
	merged := Merge(agentEvents, gatewayEvents)
	if got := merged[0].GetName(); got != string(Sent) {
		t.Fatalf("first event is %s, want %s", got, Sent)
	}
}

func TestRingReportsOverwrittenEvents(t *testing.T) {
	r := NewRing("n", 4)
	for range 10 {
		r.Add(Record{Name: Admitted})
	}
	events, lost := r.After(2, "")
	if len(events) != 4 || lost != 4 {
		t.Fatalf("got %d events and %d lost, want 4 and 4", len(events), lost)
	}
	if events[0].GetSequence() != 7 {
		t.Fatalf("first sequence %d, want 7", events[0].GetSequence())
	}
}

func TestWriteTraceWritesSpans(t *testing.T) {
	r := NewRing("n", 4)
	r.Add(Record{Name: WorkEnded, Duration: 5})
	events, _ := r.After(0, "")
	var out bytes.Buffer
	if err := WriteTrace(&out, events); err != nil {
		t.Fatal(err)
	}
	var trace struct {
		Events []traceEvent `json:"traceEvents"`
	}
	if err := json.Unmarshal(out.Bytes(), &trace); err != nil {
		t.Fatal(err)
	}
	if len(trace.Events) != 2 || trace.Events[1].Duration != 5000 {
		t.Fatalf("trace %+v", trace.Events)
	}
}
