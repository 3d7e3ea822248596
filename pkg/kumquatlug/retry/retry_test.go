package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func newTestPolicy() *Policy { return New(Config{Source: rand.NewPCG(2, 2)}) }

func TestNext(t *testing.T) {
	minute := kumquatlug.Minute
	cases := map[string]struct {
		attempt Attempt
		verdict Verdict
		reason  Reason
	}{
		"not run":           {Attempt{Ran: kumquatlug.RanNot, Attempts: 1, Deadline: minute}, VerdictRetry, ReasonNotRun},
		"may have run":      {Attempt{Ran: kumquatlug.RanUnknown, Attempts: 1, Deadline: minute}, VerdictStop, ReasonMayHaveRun},
		"refused, may run":  {Attempt{Ran: kumquatlug.RanUnknown, Refused: true, Refusals: 1, Deadline: minute}, VerdictStop, ReasonMayHaveRun},
		"ran":               {Attempt{Ran: kumquatlug.RanDone, Attempts: 1, Deadline: minute}, VerdictStop, ReasonMayHaveRun},
		"unknown":           {Attempt{Attempts: 1, Deadline: minute}, VerdictStop, ReasonMayHaveRun},
		"repeatable":        {Attempt{Ran: kumquatlug.RanUnknown, Repeatable: true, Attempts: 1, Deadline: minute}, VerdictRetry, ReasonRepeatable},
		"stream cut":        {Attempt{Ran: kumquatlug.RanUnknown, Resumable: true, Attempts: 1, Deadline: minute}, VerdictResume, ReasonCut},
		"too many attempts": {Attempt{Ran: kumquatlug.RanNot, Attempts: 4, Deadline: minute}, VerdictStop, ReasonAttempts},
		"too many refusals": {Attempt{Ran: kumquatlug.RanNot, Refused: true, Refusals: 16, Deadline: minute}, VerdictStop, ReasonAttempts},
		"deadline passed":   {Attempt{Ran: kumquatlug.RanNot, Attempts: 1, Deadline: minute, Elapsed: minute}, VerdictStop, ReasonDeadline},
	}
	for name, c := range cases {
		d := newTestPolicy().Next(0, c.attempt)
		if d.Verdict() != c.verdict || d.Reason() != c.reason {
			t.Errorf("%s: %s because %s, want %s because %s", name, d.Verdict(), d.Reason(), c.verdict, c.reason)
		}
	}
}

func TestRetriesDoNotMultiplyOverload(t *testing.T) {
	// In an overloaded group every call fails. If each were retried at once, the load would
	// grow fourfold and the group could not recover. The retries that start in a second must
	// not exceed a fifth of the calls.
	p := newTestPolicy()
	for range 50 {
		p.Next(0, Attempt{Ran: kumquatlug.RanNot, Attempts: 1, Deadline: kumquatlug.Minute})
	}
	perSecond := map[kumquatlug.Millis]int{}
	for now := kumquatlug.Millis(0); now < 60*kumquatlug.Second; now += 10 {
		p.Accepted(now)
		d := p.Next(now, Attempt{Ran: kumquatlug.RanNot, Attempts: 1, Deadline: 5 * kumquatlug.Second})
		if d.Verdict() == VerdictRetry {
			perSecond[(now+d.Wait())/kumquatlug.Second]++
		}
	}
	for second, n := range perSecond {
		if second > 5 && n > 25 {
			t.Errorf("second %d: %d retries for 100 calls", second, n)
		}
	}
}

func TestTargetCrashStaysWithinBudget(t *testing.T) {
	// One of twelve targets crashes at peak load with 50 streams in flight. Each of them was
	// accepted and must be resumed, without a long pause for its client.
	p := newTestPolicy()
	for i := range 50 {
		d := p.Next(0, Attempt{Ran: kumquatlug.RanUnknown, Resumable: true, Attempts: 1, Deadline: kumquatlug.Minute})
		if d.Verdict() != VerdictResume || d.Wait() > 50 {
			t.Fatalf("stream %d: %s after %d ms", i, d.Verdict(), d.Wait())
		}
	}
}

func TestRefusalsCostNoBudget(t *testing.T) {
	// Half of the targets shut down at once and refuse calls. The refusals cost no work, and
	// a crash at the same time must find the whole budget.
	p := newTestPolicy()
	before := p.Budget(0)
	for range 500 {
		d := p.Next(0, Attempt{Ran: kumquatlug.RanNot, Refused: true, Refusals: 1, Deadline: kumquatlug.Minute})
		if d.Verdict() != VerdictRetry || d.Wait() != 0 {
			t.Fatalf("%s after %d ms", d.Verdict(), d.Wait())
		}
	}
	if after := p.Budget(0); after != before {
		t.Errorf("budget went from %v to %v", before, after)
	}
}

func TestNextRetriesOnlySafeCallsInTime(t *testing.T) {
	// A non-idempotent call that may have run must never be retried, and no retry may start
	// after the caller's deadline, for any history of failures.
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(12))
	rans := []kumquatlug.Ran{kumquatlug.RanNot, kumquatlug.RanUnknown, kumquatlug.RanDone, ""}
	properties.Property("only safe calls are retried, before the deadline", prop.ForAll(
		func(draws []int) bool {
			p := newTestPolicy()
			for i, n := range draws {
				a := Attempt{
					Ran: rans[n%4], Repeatable: n/4%5 == 0, Resumable: n/20%5 == 0, Refused: n/100%2 == 0,
					Attempts: 1 + n/200%4, Refusals: n / 800 % 18,
					Deadline: 3 * kumquatlug.Second, Elapsed: kumquatlug.Millis(n % 3500),
				}
				d := p.Next(kumquatlug.Millis(i)*20, a)
				if d.Verdict() == VerdictStop {
					continue
				}
				allowed := a.Ran == kumquatlug.RanNot || a.Repeatable || a.Resumable
				if !allowed || a.Elapsed+d.Wait() >= a.Deadline || a.Attempts >= 4 {
					return false
				}
			}
			return true
		},
		gen.SliceOfN(300, gen.IntRange(0, 99999)),
	))
	properties.TestingRun(t)
}

func BenchmarkNext(b *testing.B) {
	p := newTestPolicy()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.Accepted(kumquatlug.Millis(i))
		p.Next(kumquatlug.Millis(i), Attempt{Ran: kumquatlug.RanNot, Attempts: 1, Deadline: kumquatlug.Minute})
	}
}

func ExamplePolicy_Next() {
	p := New(Config{Source: rand.NewPCG(1, 2)})
	attempt := Attempt{Ran: kumquatlug.RanUnknown, Attempts: 1, Deadline: kumquatlug.Minute}
	d := p.Next(0, attempt)
	fmt.Println(d.Verdict(), d.Reason())
	// Output: stop may-have-run
}
