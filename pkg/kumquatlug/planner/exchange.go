package planner

import (
	"cmp"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of [ExchangeRoles].
const (
	// exchangeDivisor bounds the engines of one role that change at the same time to one in
	// six: a role change takes three seconds, in which the engine serves nothing new.
	exchangeDivisor = 6
	// minExchangeGain is the fraction by which an exchange must shorten the time between two
	// events at the decode engine. Speeds are known to about a tenth, and an exchange moves
	// all streams of an engine.
	minExchangeGain = 0.25
)

// Exchange is a pair of engines that take each other's role.
type Exchange struct {
	toPrefill, toDecode SplitEngine
}

// ToPrefill returns the slow engine, which decodes now.
func (x Exchange) ToPrefill() SplitEngine { return x.toPrefill }

// ToDecode returns the fast engine, which prefills now.
func (x Exchange) ToDecode() SplitEngine { return x.toDecode }

// Changes returns the role changes of the exchange.
func (x Exchange) Changes() []kumquatlug.RoleChange {
	return []kumquatlug.RoleChange{
		kumquatlug.NewRoleChange(x.toDecode.Target, kumquatlug.RolePrefill, kumquatlug.RoleDecode, "speed"),
		kumquatlug.NewRoleChange(x.toPrefill.Target, kumquatlug.RoleDecode, kumquatlug.RolePrefill, "speed"),
	}
}

// ExchangeRoles returns the pairs of engines to exchange so that fast engines decode and slow
// ones prefill, at an unchanged number of engines in each role.
//
// It is meant for engines whose speeds differ by a factor of two and more. A stream suffers
// from a slow engine at each event and can't be divided, while prompts can be distributed by
// weight. Only engines whose speeds are known are exchanged, a decode engine that is not among
// the fastest for a prefill engine that is, and only if that shortens the time between two
// events by a quarter. Engines that are changing their role count towards the limit of one
// sixth.
func ExchangeRoles(engines []SplitEngine) []Exchange {
	decode, prefill := countRole(engines, kumquatlug.RoleDecode), countRole(engines, kumquatlug.RolePrefill)
	var known []SplitEngine
	changing := 0
	for _, e := range engines {
		if e.Changing {
			changing++
		}
		if e.RelativeTime > 0 {
			known = append(known, e)
		}
	}
	// An exchange changes one engine of each role.
	limit := max(min(decode, prefill)/exchangeDivisor, 1) - (changing+1)/2
	if limit <= 0 || decode == 0 || prefill == 0 {
		return nil
	}
	slow, fast := exchangeCandidates(known, countRole(known, kumquatlug.RoleDecode))
	var pairs []Exchange
	for i := 0; i < len(slow) && len(pairs) < limit; i++ {
		// The fastest engine left that gains enough; an idle slow one may gain too little.
		if len(fast) == 0 {
			break
		}
		if fast[0].RelativeTime <= (1-minExchangeGain)*slow[i].RelativeTime {
			pairs = append(pairs, Exchange{toPrefill: slow[i], toDecode: fast[0]})
			fast = fast[1:]
		}
	}
	return pairs
}

// exchangeCandidates returns the decode engines that are not among the fastest n of the engines
// and the prefill engines that are: idle ones first, then the slowest and the fastest.
func exchangeCandidates(known []SplitEngine, n int) (slow, fast []SplitEngine) {
	ranked := slices.Clone(known)
	slices.SortFunc(ranked, func(a, b SplitEngine) int {
		return cmp.Or(cmp.Compare(a.RelativeTime, b.RelativeTime), cmp.Compare(a.Target, b.Target))
	})
	for i, e := range ranked {
		switch {
		case e.Refused || e.Changing || e.ChangedRecently:
		case e.Role == kumquatlug.RoleDecode && i >= n:
			slow = append(slow, e)
		case e.Role == kumquatlug.RolePrefill && i < n:
			fast = append(fast, e)
		}
	}
	slices.Reverse(slow)
	idleFirst := func(a, b SplitEngine) int {
		switch {
		case a.Idle == b.Idle:
			return 0
		case a.Idle:
			return -1
		}
		return 1
	}
	slices.SortStableFunc(slow, idleFirst)
	slices.SortStableFunc(fast, idleFirst)
	return slow, fast
}
