package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
)

// Merge merges the events of several processes into one sequence, ordered by
// logical time, then wall clock, node and sequence number, so that the result
// doesn't depend on the order of rings.
func Merge(rings ...[]*peerv1.Event) []*peerv1.Event {
	var merged []*peerv1.Event
	for _, ring := range rings {
		merged = append(merged, ring...)
	}
	sort.SliceStable(merged, func(i, j int) bool { return before(merged[i], merged[j]) })
	return merged
}

func before(a, b *peerv1.Event) bool {
	switch {
	case a.GetLogical() != b.GetLogical():
		return a.GetLogical() < b.GetLogical()
	case a.GetWallMs() != b.GetWallMs():
		return a.GetWallMs() < b.GetWallMs()
	case a.GetNode() != b.GetNode():
		return a.GetNode() < b.GetNode()
	default:
		return a.GetSequence() < b.GetSequence()
	}
}

// WriteText writes one event per line in columns for a human reader.
func WriteText(w io.Writer, events []*peerv1.Event) error {
	for _, e := range events {
		at := time.UnixMilli(e.GetWallMs()).UTC().Format("15:04:05.000")
		_, err := fmt.Fprintf(w, "%8d %s %-12s %-16s %-28s %-12s %s\n",
			e.GetLogical(), at, e.GetNode(), e.GetName(), e.GetRequestId(), e.GetPeer(), e.GetDetail())
		if err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes one JSON object per line.
func WriteJSON(w io.Writer, events []*peerv1.Event) error {
	enc := json.NewEncoder(w)
	for _, e := range events {
		err := enc.Encode(struct {
			Logical  int64  `json:"logical"`
			Wall     int64  `json:"wall_ms"`
			Node     string `json:"node"`
			Sequence int64  `json:"sequence"`
			Name     string `json:"name"`
			Request  string `json:"request_id,omitempty"`
			Peer     string `json:"peer,omitempty"`
			Detail   string `json:"detail,omitempty"`
			Duration int64  `json:"duration_ms,omitempty"`
		}{
			e.GetLogical(), e.GetWallMs(), e.GetNode(), e.GetSequence(), e.GetName(),
			e.GetRequestId(), e.GetPeer(), e.GetDetail(), e.GetDurationMs(),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// traceEvent is one event of the Chrome trace format.
type traceEvent struct {
	Name      string            `json:"name"`
	Phase     string            `json:"ph"`
	Timestamp int64             `json:"ts"`
	Duration  int64             `json:"dur,omitempty"`
	PID       int               `json:"pid"`
	TID       int               `json:"tid"`
	Scope     string            `json:"s,omitempty"`
	Args      map[string]string `json:"args,omitempty"`
}

// WriteTrace writes events in the Chrome trace format: a process per node, a
// complete event for each event with a duration and an instant event for the rest.
func WriteTrace(w io.Writer, events []*peerv1.Event) error {
	pids := map[string]int{}
	var trace []traceEvent
	for _, e := range events {
		pid, known := pids[e.GetNode()]
		if !known {
			pid = len(pids) + 1
			pids[e.GetNode()] = pid
			trace = append(trace, traceEvent{
				Name: "process_name", Phase: "M", PID: pid, Args: map[string]string{"name": e.GetNode()},
			})
		}
		trace = append(trace, newTraceEvent(e, pid))
	}
	return json.NewEncoder(w).Encode(struct {
		Events []traceEvent `json:"traceEvents"`
	}{trace})
}

// newTraceEvent converts an event to a complete event that ends at its wall time,
// or to an instant event. Times in the trace format are in microseconds.
func newTraceEvent(e *peerv1.Event, pid int) traceEvent {
	const microsPerMilli = 1000
	t := traceEvent{
		Name: e.GetName(), Phase: "i", Scope: "t", PID: pid, TID: 1, Timestamp: e.GetWallMs() * microsPerMilli,
		Args: map[string]string{"request": e.GetRequestId(), "peer": e.GetPeer(), "detail": e.GetDetail()},
	}
	if e.GetDurationMs() > 0 {
		t.Phase, t.Scope = "X", ""
		t.Duration = e.GetDurationMs() * microsPerMilli
		t.Timestamp -= t.Duration
	}
	return t
}
