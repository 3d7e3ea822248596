package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/admission"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// minPrefillEngineTokens is the length of a prompt, in tokens, from which it runs on a
// prefill engine. A shorter one takes a decode engine under 32 ms at the usual
// 8,000 tokens a second, about what the second link and the transfer cost, and
// delays the outputs beside it by a single token.
const minPrefillEngineTokens = 256

// Offered is the work that callers brought for one kind, in tokens.
type Offered struct {
	Prefill int64
	Decode  int64
}

// assignRole counts what was brought and, for a kind whose prompts and outputs
// run on different engines, decides where the request begins.
func (d *Dispatcher) assignRole(r *request) {
	k, ok := d.kinds[r.c.Kind]
	if !ok {
		return
	}
	k.offered.Prefill += r.c.PrefillTokens
	k.offered.Decode += r.c.DecodeTokens
	if !k.disaggregated {
		return
	}
	r.c.Role = kumquatlug.RoleDecode
	if r.c.PrefillTokens >= minPrefillEngineTokens {
		r.c.Role = kumquatlug.RolePrefill
	}
}

// TakeOffers hands the work that callers brought since the last call to visit,
// for each kind whose prompts and outputs run on different engines.
func (d *Dispatcher) TakeOffers(visit func(kind kumquatlug.Kind, o Offered)) {
	for _, kind := range d.kindOrder {
		k := d.kinds[kind]
		if k.disaggregated {
			visit(kind, k.offered)
		}
		k.offered = Offered{}
	}
}

// Linked takes that the prompt of a request has run: its output follows on
// another engine, to which the KV cache goes without passing any entry. The
// request was accepted already and goes before the queue.
func (d *Dispatcher) Linked(now kumquatlug.Millis, id string) []Decision {
	d.begin(now)
	r, ok := d.requests[id]
	if !ok {
		return d.serve(now)
	}
	d.limits(r.c.Kind).Sample(now, &r.ticket, now-r.sentAt, nominalMillis(r.c.PrefillTokens, 1))
	d.release(now, r, limit.OutcomeEnded)
	d.queue.Served(now, r.c.Kind, admission.Cost(r.c.PrefillTokens, 0))
	d.recordOutcome(now, r, true, 1)
	r.c.Role = kumquatlug.RoleDecode
	r.c.PrefillTokens, r.c.Prefix = 1, nil
	r.exclude = nil
	r.nextAttemptAt = now
	d.pending = append(d.pending, r)
	return d.serve(now)
}

// isDisaggregated reports whether selectors give a kind's prompts and outputs to
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

// Group returns the group whose lease holder gives a target its orders.
func (d *Dispatcher) Group(target string) string {
	return config.GroupAmong(d.selectors, d.labelsOf(target))
}

// Flexible reports whether selectors give a target both the prompts and the
// outputs of some kind, so that its role may be changed between the two, and
// which kind it is.
func (d *Dispatcher) Flexible(target string) (kumquatlug.Kind, bool) {
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

// roleMatches reports whether an engine in the role that it reports can take what a
// selector gives it. An engine whose role is not known is taken at the
// selector's word.
func roleMatches(s selector.Selector, reported kumquatlug.Role) bool {
	return s.Role() == kumquatlug.RoleBoth || s.Role() == kumquatlug.RoleServe ||
		reported == "" || reported == kumquatlug.RoleBoth || reported == s.Role()
}
