package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/admission"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// minPrefillEngineTokens is the minimum prompt length, in tokens, for a prefill
// engine. A decode engine prefills a shorter prompt in less than 32 ms at the
// nominal 8,000 tokens per second. That is about the cost of the second connection
// and the KV cache transfer, and delays the other streams of that engine by a
// single token.
const minPrefillEngineTokens = 256

// OfferedWork is the work of one kind that arrived in an interval, in tokens.
type OfferedWork struct {
	PrefillTokens int64
	DecodeTokens  int64
}

// assignRole adds r to the offered work of its kind. If the kind is disaggregated
// it also chooses whether r starts on a prefill or a decode engine.
func (d *Dispatcher) assignRole(r *request) {
	k, ok := d.kinds[r.c.Kind]
	if !ok {
		return
	}
	k.offered.PrefillTokens += r.c.PrefillTokens
	k.offered.DecodeTokens += r.c.DecodeTokens
	if !k.disaggregated {
		return
	}
	r.c.Role = kumquatlug.RoleDecode
	if r.c.PrefillTokens >= minPrefillEngineTokens {
		r.c.Role = kumquatlug.RolePrefill
	}
}

// TakeOfferedWork calls visit for each disaggregated kind with the work that arrived
// since the last call, and resets the counts of all kinds.
func (d *Dispatcher) TakeOfferedWork(visit func(kind kumquatlug.Kind, o OfferedWork)) {
	for _, kind := range d.kindOrder {
		k := d.kinds[kind]
		if k.disaggregated {
			visit(kind, k.offered)
		}
		k.offered = OfferedWork{}
	}
}

// PrefillDone records that the prefill of a request is done. Its decode runs on another
// engine, which receives the KV cache directly from the prefill engine. The
// request was already accepted and has precedence over the queue.
func (d *Dispatcher) PrefillDone(now kumquatlug.Millis, id string) []Decision {
	d.begin(now)
	r, ok := d.requests[id]
	if !ok {
		return d.serve(now)
	}
	d.resumeOpen(now, r)
	d.limits(r.c.Kind).Sample(now, &r.ticket, now-r.sentAt, nominalMs(r.c.PrefillTokens, 1))
	d.release(now, r, limit.OutcomeEnded)
	d.queue.RecordServed(now, r.c.Kind, admission.Cost(r.c.PrefillTokens, 0))
	d.recordOutcome(now, r, true, 1)
	r.c.Role = kumquatlug.RoleDecode
	r.c.PrefillTokens, r.c.PrefixKeys = 1, nil
	r.exclude = nil
	r.nextAttemptAt = now
	d.pending = append(d.pending, r)
	return d.serve(now)
}

// isDisaggregated reports whether selectors assign prefill and decode of a kind to
// different engines.
func (d *Dispatcher) isDisaggregated(kind kumquatlug.Kind) bool {
	prefill, decode := false, false
	for _, s := range d.selectors {
		if s.Kind() == kind {
			prefill = prefill || s.Role() == kumquatlug.RolePrefill
			decode = decode || s.Role() == kumquatlug.RoleDecode
		}
	}
	return prefill && decode
}

// Group returns the group of a target. The holder of the group's lease sends the
// target its orders.
func (d *Dispatcher) Group(target string) string {
	return config.GroupOf(d.selectors, d.labelsOf(target))
}

// SwitchableKind reports whether selectors assign both prefill and decode of a kind to a
// target, so that its role can be switched between the two, and returns the kind.
func (d *Dispatcher) SwitchableKind(target string) (kumquatlug.Kind, bool) {
	labels := d.labelsOf(target)
	roles := map[kumquatlug.Kind]map[kumquatlug.Role]bool{}
	for _, s := range d.selectors {
		if !s.Match().Matches(labels) {
			continue
		}
		if roles[s.Kind()] == nil {
			roles[s.Kind()] = map[kumquatlug.Role]bool{}
		}
		roles[s.Kind()][s.Role()] = true
		if roles[s.Kind()][kumquatlug.RolePrefill] && roles[s.Kind()][kumquatlug.RoleDecode] {
			return s.Kind(), true
		}
	}
	return kumquatlug.Kind{}, false
}

// roleMatches reports whether an engine in its reported role can take the work of a
// selector. An engine without a reported role can take it.
func roleMatches(s selector.Selector, reported kumquatlug.Role) bool {
	return s.Role() == kumquatlug.RoleBoth || s.Role() == kumquatlug.RoleServe ||
		reported == "" || reported == kumquatlug.RoleBoth || reported == s.Role()
}
