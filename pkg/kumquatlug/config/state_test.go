package config

import (
	"context"
	"fmt"
	"math/rand"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// A state is compared with a map after 3,000 changes, and every tenth state is compared
// with its encoding at the end. If Apply modified rows that an older state shares, a node
// that still uses the older revision would see part of a change.
func TestStateEqualsMap(t *testing.T) {
	r := rand.New(rand.NewSource(1))
	state, want := State{}, map[string]string{}
	var saved []State
	var encoded []string
	for i := range 3000 {
		key := fmt.Sprintf("target/%03d", r.Intn(400))
		set := NewSet(key, []byte(fmt.Sprint(i)))
		if r.Intn(3) == 0 {
			set = NewDelete(key)
			delete(want, key)
		} else {
			want[key] = fmt.Sprint(i)
		}
		next, err := state.Apply(NewChange(state.Revision()+1, "id", "me", []Set{set}))
		if err != nil {
			t.Fatal(err)
		}
		state = next
		if i%10 == 0 {
			text, _ := state.Encode()
			saved, encoded = append(saved, state), append(encoded, string(text))
		}
	}
	if state.Len() != len(want) {
		t.Fatalf("%d rows, want %d", state.Len(), len(want))
	}
	previous := ""
	state.Range("target/", func(key string, value []byte) bool {
		if key <= previous || want[key] != string(value) {
			t.Errorf("%s = %s after %s, want %s", key, value, previous, want[key])
		}
		previous = key
		return true
	})
	for i, s := range saved {
		text, _ := s.Encode()
		decoded, err := DecodeState(text)
		if err != nil || string(text) != encoded[i] || !decoded.Equal(s) {
			t.Fatalf("revision %d changed after it was created: %v", s.Revision(), err)
		}
	}
}

func TestRangeVisitsOnlyPrefix(t *testing.T) {
	s := NewState(1, []Set{NewSet("b/2", nil), NewSet("a/1", nil), NewSet("b/1", nil), NewSet("c", nil)})
	cases := map[string]string{"a/": "a/1 ", "b/": "b/1 b/2 ", "b/2": "b/2 ", "d": "", "": "a/1 b/1 b/2 c "}
	for prefix, want := range cases {
		got := ""
		s.Range(prefix, func(key string, _ []byte) bool {
			got += key + " "
			return true
		})
		if got != want {
			t.Errorf("prefix %q gave %q, want %q", prefix, got, want)
		}
	}
	if _, err := s.Apply(NewChange(3, "x", "me", nil)); err == nil {
		t.Error("revision 3 was applied to revision 1")
	}
}

func TestValidateSetRejectsUndecodableValues(t *testing.T) {
	for _, s := range []Set{
		NewSet("target/a", []byte("{")), NewSet("selector/a", []byte(`{"name":"a"}`)),
		NewSet("caller/a", []byte("[]")), NewSet("other/a", []byte("{}")),
	} {
		if ValidateSet(s) == nil {
			t.Errorf("ValidateSet accepted %s = %s", s.Key(), s.Value())
		}
	}
}

// An account is written that gateways can't decode: it has no name, no hash, or a number
// of the wrong type. If ValidateSet accepted the write, gateways would skip the row and
// reject the caller's key without a reason.
func TestValidateSetRejectsInvalidCallers(t *testing.T) {
	hash := kumquatlug.HashKey("k")
	cases := map[string]struct {
		value string
		want  bool
	}{
		"valid":             {`{"name":"a","key_hash":"` + hash + `","weight":2}`, true},
		"no name":           {`{"key_hash":"` + hash + `"}`, false},
		"no hash":           {`{"name":"a"}`, false},
		"short hash":        {`{"name":"a","key_hash":"00"}`, false},
		"fractional weight": {`{"name":"a","key_hash":"` + hash + `","weight":1.5}`, false},
		"negative limit":    {`{"name":"a","key_hash":"` + hash + `","concurrency":-1}`, false},
	}
	for name, c := range cases {
		if err := ValidateSet(NewSet(PrefixCaller+"a", []byte(c.value))); (err == nil) != c.want {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzDecodeChange(f *testing.F) {
	text, _ := NewChange(7, "id", "me", []Set{NewSet("a", []byte("b")), NewDelete("c")}).Encode()
	f.Add(text)
	f.Add([]byte(`{"revision":-1,"sets":[{}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		change, err := DecodeChange(text)
		if err != nil {
			return
		}
		again, err := change.Encode()
		if err != nil {
			t.Fatal(err)
		}
		twice, err := DecodeChange(again)
		if err != nil || twice.Revision() != change.Revision() || len(twice.Sets()) != len(change.Sets()) {
			t.Fatalf("%s became %s: %v", text, again, err)
		}
	})
}

func Example() {
	store := NewStore(StoreConfig{Table: newFakeTable(), Objects: &fakeObjects{}})
	set, _ := NewLabelsSet("vm-1", selector.Labels{"pool": "draft"})
	propose := func(id, author string, base Revision) error {
		p, err := NewProposal(ProposalConfig{ID: id, Author: author, Base: base, Sets: []Set{set}})
		if err == nil {
			_, err = store.Commit(context.Background(), p)
		}
		return err
	}
	fmt.Println(propose("c1", "ana", 0))
	fmt.Println(propose("c2", "binu", 1))
	err := propose("c3", "ana", 1)
	fmt.Println(errors.Is(err, kumquatlug.ErrConflict), err)
	// Output:
	// <nil>
	// <nil>
	// true changed since you looked: revision 2 by binu target/vm-1;
}

func stateWithRows(n int) State {
	sets := make([]Set, 0, n)
	for i := range n {
		sets = append(sets, NewSet(fmt.Sprintf("target/vm-%05d", i), []byte(`{"pool":"draft","zone":"a"}`)))
	}
	return NewState(1, sets)
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{15, 1000, 10000} {
		b.Run(fmt.Sprintf("rows=%d", n), func(b *testing.B) {
			state := stateWithRows(n)
			set := []Set{NewSet("target/vm-00007", []byte(`{"pool":"post"}`))}
			b.ReportAllocs()
			for b.Loop() {
				state, _ = state.Apply(NewChange(state.Revision()+1, "id", "me", set))
			}
		})
	}
}

func BenchmarkGet(b *testing.B) {
	state := stateWithRows(10000)
	b.ReportAllocs()
	for b.Loop() {
		state.Get("target/vm-07777")
	}
}

func BenchmarkEncode(b *testing.B) {
	state := stateWithRows(10000)
	var text []byte
	for b.Loop() {
		text, _ = state.Encode()
	}
	b.ReportMetric(float64(len(text)), "bytes")
}

func BenchmarkReader(b *testing.B) {
	names := make([]string, 1230)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%05d", i)
	}
	a := NewAdopter(AdopterConfig{NodeName: names[0]})
	b.ReportAllocs()
	for b.Loop() {
		a.IsReader(0, names)
	}
}
