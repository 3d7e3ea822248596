package lease

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Term is a snapshot of a held lease, for goroutines other than the one that owns the
// [Holder].
type Term struct {
	fencingToken          FencingToken
	ordersFrom, expiresAt kumquatlug.Millis
}

// FencingToken returns the fencing token.
func (t Term) FencingToken() FencingToken { return t.fencingToken }

// Valid reports whether the lease has not expired. It may have been released or lost
// since the snapshot was taken.
func (t Term) Valid(now kumquatlug.Millis) bool { return t.fencingToken != 0 && now < t.expiresAt }

// MayAct reports whether an action that takes at most span ends before the lease
// expires, and whether the handover delay has passed. Call it right before each action.
func (t Term) MayAct(now, span kumquatlug.Millis) bool {
	return t.fencingToken != 0 && now >= t.ordersFrom && now+span < t.expiresAt
}

// Term returns a snapshot of the lease if this process holds it, else the zero term.
func (h *Holder) Term(now kumquatlug.Millis) Term {
	token, held := h.Held(now)
	if !held {
		return Term{}
	}
	return Term{fencingToken: token, ordersFrom: h.ordersFrom, expiresAt: h.expiresAt}
}
