package pace

import (
	"cmp"
	"slices"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
)

// exchangeRoles exchanges engines as the holder of the lease, gateway 0, does every 250 ms: a
// change takes three seconds, and an engine is exchanged once in 20 s. It returns the number of
// exchanges.
func (r *replay) exchangeRoles(span kumquatlug.Millis) int {
	exchanges := 0
	changedAt, pending := map[string]kumquatlug.Millis{}, map[string]kumquatlug.Role{}
	for end := r.now + span; r.now < end; {
		r.run(250)
		var engines []planner.SplitEngine
		byID := map[string]*replayEngine{}
		for _, e := range r.engines {
			byID[e.id] = e
			if role, changing := pending[e.id]; changing && r.now-changedAt[e.id] >= 3000 {
				e.decode = role == kumquatlug.RoleDecode
				delete(pending, e.id)
			}
			role := kumquatlug.RolePrefill
			if e.decode {
				role = kumquatlug.RoleDecode
			}
			x := planner.SplitEngine{Target: e.id, Role: role}
			if wanted, changing := pending[e.id]; changing {
				x.Role, x.Changing = wanted, true
			}
			at, changed := changedAt[e.id]
			x.ChangedRecently = changed && r.now-at < 20_000
			if r.gateways[0].Known(r.now, e.id) {
				x.RelativeTime = r.gateways[0].RelativeTime(r.now, e.id)
			}
			engines = append(engines, x)
		}
		markSuitable(engines)
		for _, x := range planner.ExchangeRoles(engines, replayDecode) {
			exchanges++
			for _, change := range x.Changes() {
				changedAt[change.Target()], pending[change.Target()] = r.now, change.To()
			}
		}
	}
	return exchanges
}

// markSuitable marks as many engines as decode, the fastest ones that are known.
func markSuitable(engines []planner.SplitEngine) {
	ranked := slices.DeleteFunc(slices.Clone(engines), func(e planner.SplitEngine) bool { return e.RelativeTime == 0 })
	slices.SortStableFunc(ranked, func(a, b planner.SplitEngine) int { return cmp.Compare(a.RelativeTime, b.RelativeTime) })
	decode := 0
	for _, e := range ranked {
		if e.Role == kumquatlug.RoleDecode {
			decode++
		}
	}
	for i := range engines {
		engines[i].Suitable = slices.ContainsFunc(ranked[:decode], func(e planner.SplitEngine) bool { return e.Target == engines[i].Target })
	}
}

// meanDecode returns the mean relative time of the decode engines.
func (r *replay) meanDecode() float64 {
	sum := 0.0
	for _, e := range r.engines {
		if e.decode {
			sum += e.speed / replayDecode
		}
	}
	return sum
}

// best returns the mean relative time of the fastest engines, as many as decode.
func (r *replay) best() float64 {
	sum := 0.0
	for _, e := range r.engines {
		faster := 0
		for _, other := range r.engines {
			if other.speed < e.speed {
				faster++
			}
		}
		if faster < replayDecode {
			sum += e.speed / replayDecode
		}
	}
	return sum
}

// Roles are exchanged by estimated speeds while the estimates still improve. Most of the gain must
// be there within the first seconds, and then the exchanges must end.
func TestRolesSettleFromTheStart(t *testing.T) {
	r := newReplay(11)
	before := r.meanDecode()
	r.exchangeRoles(12_000)
	early := r.meanDecode()
	r.exchangeRoles(25_000)
	late := r.exchangeRoles(15_000)
	t.Logf("decode engines: mean relative time %.3f, %.3f after 12 s, %.3f after 52 s, best %.3f; %d exchanges in the last 15 s", before, early, r.meanDecode(), r.best(), late)
	if before-early < 0.6*(before-r.best()) || r.meanDecode() > 1.1*r.best() || late > 2 {
		t.Error("roles don't settle by speed")
	}
}

// All gateways restart when roles already follow speed, so that each role looks as if its mean was
// that of the service.
func TestRolesAfterRestartOfAllGateways(t *testing.T) {
	r := newReplay(11)
	for _, e := range r.engines {
		faster := 0
		for _, other := range r.engines {
			if other.speed < e.speed {
				faster++
			}
		}
		e.decode = faster < replayDecode
	}
	first := r.exchangeRoles(12_000)
	early := r.meanDecode()
	second := r.exchangeRoles(48_000)
	t.Logf("decode engines: best %.3f, %.3f after 12 s and %d exchanges, %.3f after 60 s and %d more", r.best(), early, first, r.meanDecode(), second)
	if r.meanDecode() > 1.15*r.best() {
		t.Error("roles don't return to speed")
	}
}
