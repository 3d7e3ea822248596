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

// ExchangeRoles returns the pairs of engines to exchange so that at least wanted decode engines
// are suitable for streams, at an unchanged number of engines in each role.
//
// It is meant for engines whose speeds differ by a factor of two and more. A stream suffers
// from a slow engine at each event and can't be divided, while prompts can be distributed by
// weight. An exchange costs prefill capacity and the prefixes cached at the fast engine, so that
// no more engines are exchanged than the streams need, and of the suitable prefill engines the
// slowest one that shortens the time between two events by a quarter. Each version keeps its decode
// engines; see [RestoreVersions]. Engines that are changing
// their role count towards the limit of one sixth.
func ExchangeRoles(engines []SplitEngine, wanted int) []Exchange {
	decode, prefill := countRole(engines, kumquatlug.RoleDecode), countRole(engines, kumquatlug.RolePrefill)
	changing := 0
	for _, e := range engines {
		if e.Changing {
			changing++
		}
		if e.Suitable && e.Role == kumquatlug.RoleDecode {
			wanted--
		}
	}
	// An exchange changes one engine of each role.
	limit := min(max(min(decode, prefill)/exchangeDivisor, 1)-(changing+1)/2, wanted)
	if limit <= 0 || decode == 0 || prefill == 0 {
		return nil
	}
	slow, fast := exchangeCandidates(engines)
	versions := newVersionSplit(engines, decode)
	var pairs []Exchange
	for _, e := range slow {
		at := slices.IndexFunc(fast, func(f SplitEngine) bool {
			return f.RelativeTime <= (1-minExchangeGain)*e.RelativeTime && versions.mayExchange(e, f)
		})
		if at < 0 || len(pairs) == limit {
			continue
		}
		pairs = append(pairs, Exchange{toPrefill: e, toDecode: fast[at]})
		versions.apply(e.Target, kumquatlug.RolePrefill)
		versions.apply(fast[at].Target, kumquatlug.RoleDecode)
		fast = slices.Delete(fast, at, at+1)
	}
	return pairs
}

// exchangeCandidates returns the decode engines that are not suitable for streams and the
// prefill engines that are: idle ones first, then the slowest.
func exchangeCandidates(engines []SplitEngine) (slow, fast []SplitEngine) {
	for _, e := range engines {
		switch {
		case e.RelativeTime <= 0 || e.Refused || e.Changing || e.ChangedRecently:
		case e.Role == kumquatlug.RoleDecode && !e.Suitable:
			slow = append(slow, e)
		case e.Role == kumquatlug.RolePrefill && e.Suitable:
			fast = append(fast, e)
		}
	}
	idleThenSlowest := func(a, b SplitEngine) int {
		switch {
		case a.Idle != b.Idle && a.Idle:
			return -1
		case a.Idle != b.Idle:
			return 1
		}
		return cmp.Or(cmp.Compare(b.RelativeTime, a.RelativeTime), cmp.Compare(a.Target, b.Target))
	}
	slices.SortFunc(slow, idleThenSlowest)
	slices.SortFunc(fast, idleThenSlowest)
	return slow, fast
}
