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
			t.Errorf("%q gave %v", text, d)
		}
		if again, err := ParseDispatch(d.String()); err != nil || again != d {
			t.Errorf("%v came back as %v, %v", d, again, err)
		}
	})
}

func FuzzDecodeRow(f *testing.F) {
	f.Add([]byte(`{"state":"free","epoch":1}`))
	f.Add([]byte("garbage"))
	f.Add([]byte("{}"))
	f.Add([]byte(`{"state":"claimed","target":"gazette-1","claim":"a-1","body":"body"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		// A row that can't be read, or says what no row says, may stand for a
		// run. Only one that says free admits another.
		table := newMemoryTable()
		c := call("k", "body", Dispatch{})
		if err := table.apply(kumquatlug.NewTx("garbled").Put(rowKey(0, c.ID()), value)); err != nil {
			t.Fatal(err)
		}
		b := newBook(Config{Target: "gazette-1", Incarnation: "b"}.withDefaults())
		b.begin(c, false, 0)
		for now := kumquatlug.Millis(0); b.pending() > 0; now += DefaultFlush {
			if e := b.next(now); e != nil {
				end(b, table, e, now)
			}
		}
		r := decodeRow(value)
		free := r.State == stateFree && r.Epoch <= 0
		for _, d := range b.take() {
			if d.failure == nil && d.ruling.verdict == VerdictRun && !free {
				t.Errorf("%q admitted a run", value)
			}
		}
	})
}

// end lets an effect that the book asked for happen.
func end(b *book, table *memoryTable, e *effect, now kumquatlug.Millis) {
	r := result{}
	if e.writes() {
		r.err = table.apply(e.tx)
	}
	for _, key := range e.reads {
		r.rows = append(r.rows, table.rows[key])
	}
	b.done(r, now)
}
