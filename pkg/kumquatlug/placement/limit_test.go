package placement

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ratelimit"
)

// newLimitedPlacer returns the Placer of a single gateway with these workers, of which
// some advertise a rate limit in the responses to their first attempts.
func newLimitedPlacer(members []kumquatlug.Member, limits map[string]float64) *Placer {
	shares := ratelimit.NewShares("front-0")
	shares.AddGateways(nil)
	p := New(Config{Zone: "a", Shares: shares})
	p.Sync(0, members)
	for _, m := range members {
		perSecond, limited := limits[m.Worker.ID()]
		if !limited {
			continue
		}
		c := Choice{worker: m.Worker, prefillOnly: m.Role == kumquatlug.RolePrefill}
		t := p.Begin(0, c, document(0, 0))
		p.RecordLimit(1, t, kumquatlug.NewRateLimit(perSecond), true)
		p.End(1, t, OutcomeServed)
	}
	return p
}

// countSent plays requests, one every 10 ms for four seconds, and counts by worker
// those that are sent in that time, and those refused.
func countSent(p *Placer, choose func(now kumquatlug.Millis, key uint64) (Choice, *Attempt)) (sent map[string]int, refused int) {
	sent = map[string]int{}
	const begin, end = 2000, 6000
	for now := kumquatlug.Millis(begin); now < end; now += 10 {
		c, attempt := choose(now, uint64(now))
		switch {
		case attempt == nil:
			refused++
			continue
		case now+c.Delay() < end:
			sent[c.Worker().ID()]++
		}
		p.End(now+c.Delay()+9, attempt, OutcomeServed)
	}
	return sent, refused
}

// plainChooser chooses a worker for a plain request that is due in 300 ms and may take
// 4 s.
func plainChooser(p *Placer) func(kumquatlug.Millis, uint64) (Choice, *Attempt) {
	return func(now kumquatlug.Millis, _ uint64) (Choice, *Attempt) {
		c, found := p.ChoosePlain(now, Query{FirstOutputDue: now + 300, Deadline: now + 4000})
		if !found {
			return c, nil
		}
		return c, p.Begin(now, c, kumquatlug.Prompt{})
	}
}

// One of three plain workers advertises a rate limit. It must get no more, and the
// others all of the rest: no request may be refused while they have capacity.
func TestUnlimitedWorkersAbsorbLimitedWorkersExcess(t *testing.T) {
	members := []kumquatlug.Member{member("s0", "a", "", 6), member("s1", "a", "", 6), member("s2", "a", "", 6)}
	p := newLimitedPlacer(members, map[string]float64{"s0": 4})
	sent, refused := countSent(p, plainChooser(p))
	if sent["s0"] > 17 || sent["s0"] < 8 || refused > 0 {
		t.Errorf("sent %v, refused %d; the limit allows 16 and a burst of one", sent, refused)
	}
}

// All workers of a service advertise rate limits, in total a fifth of the load. The
// limits must be used in full and in time. The rest can't be served and must be refused
// at once, with the time at which a worker accepts more.
func TestRateLimitsBelowLoadAreFullyUsed(t *testing.T) {
	members := []kumquatlug.Member{member("s0", "a", "", 6), member("s1", "a", "", 6)}
	p := newLimitedPlacer(members, map[string]float64{"s0": 12, "s1": 8})
	inTime, late := 0, 0
	sent, refused := countSent(p, func(now kumquatlug.Millis, key uint64) (Choice, *Attempt) {
		c, attempt := plainChooser(p)(now, key)
		switch {
		case attempt == nil && c.Delay() <= 0:
			t.Fatal("a refusal has no time after which to retry")
		case attempt != nil && c.Delay() <= 600:
			inTime++
		case attempt != nil:
			late++
		}
		return c, attempt
	})
	if sent["s0"] < 46 || sent["s0"] > 50 || sent["s1"] < 30 || sent["s1"] > 34 {
		t.Errorf("sent %v; the limits allow 48 and 32", sent)
	}
	if late > 0 || inTime+refused != 400 {
		t.Errorf("%d delayed by up to 600 ms, %d longer, %d refused", inTime, late, refused)
	}
}

// Prefill and decode engines advertise rate limits. On each placement path the prompts
// above a limit must go to the other engines.
func TestEngineRateLimitsHoldOnEveryPlacementPath(t *testing.T) {
	p := newLimitedPlacer(engines(3, 3), map[string]float64{"r0": 3, "g0": 5})
	outputs := map[string]int{}
	prefilled, refused := countSent(p, func(now kumquatlug.Millis, key uint64) (Choice, *Attempt) {
		prompt := document(int(key), int(key))
		if key%40 == 0 {
			prompt = chatPrompt(int(key))
		}
		q := Query{Prompt: prompt, FirstOutputDue: now + 200, Deadline: now + 2000}
		result, c, attempt := p.Submit(now, key, q)
		if result == SubmissionQueued {
			due := p.Due(now + 200)
			if len(due) == 0 {
				t.Fatal("a prompt stays queued")
			}
			c, attempt = due[0].Choice(), due[0].Attempt()
		}
		if attempt != nil && c.PrefillOnly() {
			out, found := p.ChooseDecode(now, q)
			if !found {
				t.Fatal("no engine decodes")
			}
			if now+out.Delay() < 6000 {
				outputs[out.Worker().ID()]++
			}
			p.End(now+out.Delay()+9, p.Begin(now, out, prompt), OutcomeServed)
		}
		return c, attempt
	})
	if prefilled["r0"] > 13 || outputs["g0"]+prefilled["g0"] > 21 || refused > 0 {
		t.Errorf("prefilled %v, decoded %v, refused %d; limits allow 12 and 20, and a burst of one", prefilled, outputs, refused)
	}
	if prefilled["r0"] == 0 || outputs["g0"]+prefilled["g0"] == 0 {
		t.Errorf("prefilled %v, decoded %v: an engine with a limit gets nothing", prefilled, outputs)
	}
}
