package ledger

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func FuzzParseDispatch(f *testing.F) {
	for _, text := range []string{"0.0", "12.3", "-1.0", "1", "1.", "9999999999999999999.1", "1.2.3", "+1.0"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, err := ParseDispatch(text)
		if err != nil {
			return
		}
		if d.Era() < 0 || d.Epoch() < 0 {
			t.Errorf("%q parsed as %v", text, d)
		}
		if again, err := ParseDispatch(d.String()); err != nil || again != d {
			t.Errorf("%v round trip = %v, %v", d, again, err)
		}
	})
}

func FuzzDecodeRow(f *testing.F) {
	f.Add([]byte(`{"state":"free","epoch":1}`))
	f.Add([]byte("garbage"))
	f.Add([]byte("{}"))
	f.Add([]byte(`{"state":"claimed","target":"gazette-1","claim":"a-1","body":"body"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		// A row that can't be decoded, or has an unknown state, may record a
		// run. Only a row in state free may admit another.
		table := newMemoryTable()
		c := newTestCall("k", "body", Dispatch{})
		if err := table.apply(kumquatlug.NewTx("garbled").Put(rowKey(0, c.ID()), value)); err != nil {
			t.Fatal(err)
		}
		m := newStateMachine(Config{Target: "gazette-1", Incarnation: "b"}.withDefaults())
		m.begin(c, false, 0)
		for now := kumquatlug.Millis(0); m.pending() > 0; now += DefaultFlushInterval {
			if op := m.nextOp(now); op != nil {
				performOp(m, table, op, now)
			}
		}
		r := decodeRow(value)
		free := r.State == stateFree && r.Epoch <= 0
		for _, resp := range m.takeResponses() {
			if resp.failure == nil && resp.decision.verdict == VerdictRun && !free {
				t.Errorf("row %q admitted a run", value)
			}
		}
	})
}

// performOp performs a table operation and completes it.
func performOp(m *stateMachine, table *memoryTable, op *tableOp, now kumquatlug.Millis) {
	r := tableResult{}
	if op.isWrite() {
		r.err = table.apply(op.tx)
	}
	for _, key := range op.reads {
		r.rows = append(r.rows, table.rows[key])
	}
	m.completeOp(r, now)
}
