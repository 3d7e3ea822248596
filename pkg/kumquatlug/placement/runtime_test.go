package placement

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// runFor runs a request with this maximum output at a decode engine, which ends at now.
func runFor(p *Placer, now kumquatlug.Millis, output int, took kumquatlug.Millis) {
	prompt := kumquatlug.NewPrompt(nil, 10, output)
	c, _ := p.ChooseDecode(now-took, Query{Prompt: prompt})
	t := p.Begin(now-took, c, prompt)
	p.PrefillDone(now-took+2, t)
	p.End(now, t, OutcomeServed)
}

// A gateway that is shutting down refuses requests that would not end in time. Where a
// token takes four times as long as in another deployment, requests that it still
// accepts would break off midway.
func TestExpectedRunTimeFollowsObservations(t *testing.T) {
	p := New(Config{})
	p.Sync(0, engines(1, 1))
	now := kumquatlug.Millis(0)
	for i := range 40 {
		c, _ := p.ChooseDecode(now, Query{Prompt: chatPrompt(i)})
		attempt := p.Begin(now, c, chatPrompt(i))
		p.PrefillDone(now+50, attempt)
		now += 18_400
		p.End(now, attempt, OutcomeServed)
	}
	for _, output := range []int{1000, 4600, 20_000} {
		usual, most := p.UsualRunTime(now, output), p.MaxRunTime(now, output)
		if expected := kumquatlug.Millis(4 * output); usual < expected*99/100 || usual > expected*101/100 || most < expected || most > expected*13/10 {
			t.Errorf("%d and %d ms for %d tokens that take 4 ms each", usual, most, output)
		}
	}
	before := p.MaxStartDelay()
	for range 10 {
		p.overrun.Observe(8000)
	}
	if got := p.MaxStartDelay(); got < before+2000 {
		t.Errorf("%d ms after ten first outputs arrived eight seconds late", got)
	}
}

// Seven of eight requests may generate 400 tokens and mostly end after the first few, the others
// 11,000 in 1 to 9 s, and only short ones have ended in the last seconds. The expected run time of a
// long stream must not shrink to that of the short ones.
func TestShortRequestsDoNotHideLongOnes(t *testing.T) {
	p := New(Config{})
	p.Sync(0, engines(1, 1))
	now := kumquatlug.Millis(100_000)
	for i := range 100 {
		now += 10
		runFor(p, now, 11_000, kumquatlug.Millis(1000+80*i))
	}
	for range 1000 {
		now += 10
		runFor(p, now, 400, 4)
	}
	if usual, most := p.UsualRunTime(now, 11_000), p.MaxRunTime(now, 11_000); usual < 8400 || usual > 8700 || most < 8900 || most > 12_000 {
		t.Errorf("%d and %d ms for a long stream", usual, most)
	}
	if most := p.MaxRunTime(now, 400); most > 10 {
		t.Errorf("%d ms for a short request", most)
	}
}

// A gateway that has just started has seen only streams that ended early, while others still run.
// Streams like these must be expected to last at least as long as the ones that run, and as long
// as assumed without any samples while there are few.
func TestRunningStreamsCountForRunTime(t *testing.T) {
	p := New(Config{})
	p.Sync(0, engines(1, 1))
	runFor(p, 500, 11_000, 300)
	if most := p.MaxRunTime(500, 11_000); most < 10_000 {
		t.Errorf("%d ms after one sample of 300 ms", most)
	}
	prompt := kumquatlug.NewPrompt(nil, 10, 11_000)
	for range 4 {
		c, _ := p.ChooseDecode(500, Query{Prompt: prompt})
		p.Begin(500, c, prompt)
	}
	for i := range kumquatlug.Millis(40) {
		runFor(p, 1000+100*i, 11_000, 300)
	}
	if most := p.MaxRunTime(5500, 11_000); most < 5000 {
		t.Errorf("%d ms while streams have run for 5000 ms", most)
	}
}
