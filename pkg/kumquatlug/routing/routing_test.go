package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

var chat = kumquatlug.NewKind(kumquatlug.ProtocolEngine, "chat")

// fleet returns a router in data centre a that knows n targets in it.
func fleet(n int) *Router {
	r := New(Config{Source: rand.NewPCG(1, 1), Zone: "a"})
	for i := range n {
		r.Set(0, Candidate{Name: fmt.Sprintf("t%04d", i), Zone: "a", Duties: []Duty{{Kind: chat, Role: kumquatlug.RoleBoth}}})
	}
	return r
}

func query(tokens int, prefix ...uint64) Query {
	return Query{Kind: chat, Role: kumquatlug.RoleBoth, PrefillTokens: tokens, DecodeTokens: 100, Prefix: prefix}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			r, q := busyFleet(n)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := r.Pick(500, q, nil); !ok {
					b.Fatal("no choice")
				}
			}
		})
	}
}

// busyFleet has calls in hand, old reports, eight entries and a prompt of 16
// blocks of which half are known.
func busyFleet(n int) (*Router, Query) {
	r := fleet(n)
	r.SetEntries(8)
	keys := make([]uint64, 16)
	for i := range keys {
		keys[i] = mix(uint64(i) + 1)
	}
	for i := range 4 * n {
		name := fmt.Sprintf("t%04d", i%n)
		r.Sent(kumquatlug.Millis(i%500), name, Call{ID: fmt.Sprint(i), Prefix: keys[:i%9], PrefillTokens: 100 * (i % 37), DecodeTokens: 100})
	}
	return r, query(4096, keys...)
}

func TestPickAllocatesNothing(t *testing.T) {
	r, q := busyFleet(100)
	if n := testing.AllocsPerRun(100, func() { r.Pick(500, q, nil) }); n != 0 {
		t.Errorf("a decision allocates %v times", n)
	}
}
