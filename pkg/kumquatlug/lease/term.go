package lease

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Term is a lease as it was when it was asked for, for those that act by it beside
// the owner of the [Holder].
type Term struct {
	number                Number
	ordersFrom, expiresAt kumquatlug.Millis
}

// Number returns the fencing number.
func (t Term) Number() Number { return t.number }

// MayHold reports that the lease lasts.
func (t Term) MayHold(now kumquatlug.Millis) bool { return t.number != 0 && now < t.expiresAt }

// MayAct reports that an action that ends within span lies within the lease, and that
// the last one of another holder lies a turn back. Ask right before each.
func (t Term) MayAct(now, span kumquatlug.Millis) bool {
	return t.number != 0 && now >= t.ordersFrom && now+span < t.expiresAt
}

// Term returns the lease that this process holds, the zero term for none.
func (h *Holder) Term(now kumquatlug.Millis) Term {
	number, held := h.Held(now)
	if !held {
		return Term{}
	}
	return Term{number: number, ordersFrom: h.ordersFrom, expiresAt: h.expiresAt}
}
