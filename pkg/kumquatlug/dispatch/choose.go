package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routing"
)

// capacityCheck checks the limits of targets for one request of cost tokens.
type capacityCheck struct {
	targets *limit.Targets
	cost    int64
}

// Room reports whether target has capacity for the request.
func (r capacityCheck) Room(target string) bool { return r.targets.Room(target, r.cost) }

// send starts the next attempt of r. It reports whether a target had capacity.
func (d *Dispatcher) send(now kumquatlug.Millis, r *request) bool {
	target, cached, predictedTime, found := d.choose(now, r)
	if !found {
		return false
	}
	member, ok := d.members.Get(target)
	if !ok {
		return false
	}
	r.attempts++
	r.number = r.attempts
	r.target, r.cached, r.inFlight, r.predictedTime = target, cached, true, predictedTime
	r.sentAt, r.firstTokenAt = now, 0
	d.account(now, r)
	attempt := Attempt{target: target, address: member.VM().Address(), number: r.attempts, revision: d.revision, role: r.c.Role}
	attempt.notice, attempt.suspect = d.registry.Notice(now, r.fingerprint())
	d.decisions = append(d.decisions, Decision{id: r.c.ID, verdict: VerdictSend, attempt: attempt})
	return true
}

// account adds the attempt to the limits and the load of its target.
func (d *Dispatcher) account(now kumquatlug.Millis, r *request) {
	limits := d.limits(r.c.Kind)
	r.ticket = limits.Begin(now, r.target, r.kvTokens())
	limits.SetTolerance(&r.ticket, r.c.Deadline-r.c.Arrival, kumquatlug.Millis(r.nominalMs()))
	d.router.Sent(now, r.target, routing.Call{
		ID: r.c.ID, Prefix: r.c.PrefixKeys, PrefillTokens: int(r.c.PrefillTokens) - r.cached, DecodeTokens: int(r.c.DecodeTokens),
	})
}

func (d *Dispatcher) choose(now kumquatlug.Millis, r *request) (target string, cached int, predictedTime kumquatlug.Millis, found bool) {
	if r.c.RunOnceKey != "" {
		target, found = d.chooseByKey(r)
		return target, 0, 0, found
	}
	query := routing.Query{
		Kind: r.c.Kind, Role: r.c.Role, Prefix: r.c.PrefixKeys, PrefillTokens: int(r.c.PrefillTokens),
		DecodeTokens: int(r.c.DecodeTokens), Exclude: r.exclude,
	}
	choice, found := d.router.Pick(now, query, capacityCheck{d.limits(r.c.Kind), r.kvTokens()})
	if !found && d.triedAll(r) {
		// Retry a target that failed before only if all were tried. Until then
		// wait for capacity at the others: a target that just failed would fail
		// again at once and use up the request's attempts.
		query.Exclude = nil
		choice, found = d.router.Pick(now, query, capacityCheck{d.limits(r.c.Kind), r.kvTokens()})
	}
	return choice.Target(), choice.Cached(), choice.UnweightedFinish(), found
}

// triedAll reports whether r was tried at every ready target of its kind.
func (d *Dispatcher) triedAll(r *request) bool {
	if len(r.exclude) == 0 {
		return false
	}
	for _, name := range d.ready(r.c.Kind) {
		if !contains(r.exclude, name) {
			return false
		}
	}
	return true
}

// chooseByKey returns the first ready target in the rendezvous order of the
// run-once key, so that every gateway sends a key to the same agent. If that
// target has no capacity the request waits for it. The next target would be
// correct too, but a later resend would then reach another agent and cost a read
// of the table.
func (d *Dispatcher) chooseByKey(r *request) (string, bool) {
	order := routing.RunOnceOrder(r.c.RunOnceKey, d.ready(r.c.Kind))
	for _, name := range order {
		if !contains(r.exclude, name) {
			return name, d.services.Room(name, r.kvTokens())
		}
	}
	if len(order) == 0 {
		return "", false
	}
	// Every target has refused the call. The first one may have refused it only
	// because its dispatch stamp was stale.
	return order[0], d.services.Room(order[0], r.kvTokens())
}

func (d *Dispatcher) ready(kind kumquatlug.Kind) []string {
	k, ok := d.kinds[kind]
	if !ok {
		return nil
	}
	return k.ready
}

func contains(list []string, wanted string) bool {
	for _, s := range list {
		if s == wanted {
			return true
		}
	}
	return false
}
