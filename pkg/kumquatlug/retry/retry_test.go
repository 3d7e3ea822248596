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

func newTestPolicy() *Policy { return New(Config{RandomSource: rand.NewPCG(2, 2)}) }

func TestNext(t *testing.T) {
	minute := kumquatlug.Minute
	cases := map[string]struct {
		attempt Attempt
		action  Action
		reason  Reason
	}{
		"not run":           {Attempt{Execution: kumquatlug.NotExecuted, Attempts: 1, Deadline: minute}, ActionRetry, ReasonNotRun},
		"may have run":      {Attempt{Execution: kumquatlug.ExecutionUnknown, Attempts: 1, Deadline: minute}, ActionStop, ReasonMayHaveRun},
		"refused, may run":  {Attempt{Execution: kumquatlug.ExecutionUnknown, Refused: true, Refusals: 1, Deadline: minute}, ActionStop, ReasonMayHaveRun},
		"ran":               {Attempt{Execution: kumquatlug.Executed, Attempts: 1, Deadline: minute}, ActionStop, ReasonMayHaveRun},
		"unknown":           {Attempt{Attempts: 1, Deadline: minute}, ActionStop, ReasonMayHaveRun},
		"repeatable":        {Attempt{Execution: kumquatlug.ExecutionUnknown, Repeatable: true, Attempts: 1, Deadline: minute}, ActionRetry, ReasonRepeatable},
		"stream cut":        {Attempt{Execution: kumquatlug.ExecutionUnknown, Resumable: true, Attempts: 1, Deadline: minute}, ActionResume, ReasonStreamInterrupted},
		"too many attempts": {Attempt{Execution: kumquatlug.NotExecuted, Attempts: 4, Deadline: minute}, ActionStop, ReasonAttempts},
		"too many refusals": {Attempt{Execution: kumquatlug.NotExecuted, Refused: true, Refusals: 16, Deadline: minute}, ActionStop, ReasonAttempts},
		"deadline passed":   {Attempt{Execution: kumquatlug.NotExecuted, Attempts: 1, Deadline: minute, Elapsed: minute}, ActionStop, ReasonDeadline},
	}
	for name, c := range cases {
		d := newTestPolicy().Next(0, c.attempt)
		if d.Action() != c.action || d.Reason() != c.reason {
			t.Errorf("%s: %s because %s, want %s because %s", name, d.Action(), d.Reason(), c.action, c.reason)
		}
	}
}

func TestRetriesDoNotMultiplyOverload(t *testing.T) {
	// In an overloaded group every call fails. If each were retried at once, the load would
	// grow fourfold and the group could not recover. The retries that start in a second must
	// not exceed a fifth of the calls.
	p := newTestPolicy()
	for range 50 {
		p.Next(0, Attempt{Execution: kumquatlug.NotExecuted, Attempts: 1, Deadline: kumquatlug.Minute})
	}
	perSecond := map[kumquatlug.Millis]int{}
	for now := kumquatlug.Millis(0); now < 60*kumquatlug.Second; now += 10 {
		p.RecordCall(now)
		d := p.Next(now, Attempt{Execution: kumquatlug.NotExecuted, Attempts: 1, Deadline: 5 * kumquatlug.Second})
		if d.Action() == ActionRetry {
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
		d := p.Next(0, Attempt{Execution: kumquatlug.ExecutionUnknown, Resumable: true, Attempts: 1, Deadline: kumquatlug.Minute})
		if d.Action() != ActionResume || d.Wait() > 50 {
			t.Fatalf("stream %d: %s after %d ms", i, d.Action(), d.Wait())
		}
	}
}

func TestRefusalsCostNoBudget(t *testing.T) {
	// Half of the targets shut down at once and refuse calls. The refusals cost no work, and
	// a crash at the same time must find the whole budget.
	p := newTestPolicy()
	before := p.Budget(0)
	for range 500 {
		d := p.Next(0, Attempt{Execution: kumquatlug.NotExecuted, Refused: true, Refusals: 1, Deadline: kumquatlug.Minute})
		if d.Action() != ActionRetry || d.Wait() != 0 {
			t.Fatalf("%s after %d ms", d.Action(), d.Wait())
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
	rans := []kumquatlug.Execution{kumquatlug.NotExecuted, kumquatlug.ExecutionUnknown, kumquatlug.Executed, ""}
	properties.Property("only safe calls are retried, before the deadline", prop.ForAll(
		func(draws []int) bool {
			p := newTestPolicy()
			for i, n := range draws {
				a := Attempt{
					Execution: rans[n%4], Repeatable: n/4%5 == 0, Resumable: n/20%5 == 0, Refused: n/100%2 == 0,
					Attempts: 1 + n/200%4, Refusals: n / 800 % 18,
					Deadline: 3 * kumquatlug.Second, Elapsed: kumquatlug.Millis(n % 3500),
				}
				d := p.Next(kumquatlug.Millis(i)*20, a)
				if d.Action() == ActionStop {
					continue
				}
				allowed := a.Execution == kumquatlug.NotExecuted || a.Repeatable || a.Resumable
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
		p.RecordCall(kumquatlug.Millis(i))
		p.Next(kumquatlug.Millis(i), Attempt{Execution: kumquatlug.NotExecuted, Attempts: 1, Deadline: kumquatlug.Minute})
	}
}

func ExamplePolicy_Next() {
	p := New(Config{RandomSource: rand.NewPCG(1, 2)})
	attempt := Attempt{Execution: kumquatlug.ExecutionUnknown, Attempts: 1, Deadline: kumquatlug.Minute}
	d := p.Next(0, attempt)
	fmt.Println(d.Action(), d.Reason())
	// Output: stop may-have-run
}
