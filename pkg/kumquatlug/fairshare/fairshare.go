// Package fairshare tells how much more than its usual share an account asks for.
//
// It answers a load in which one account sends a herd, or repeats at once what was
// refused, while the others send as ever: in a queue by worth alone the herd takes the
// place of everybody in proportion. What an account asks for lately is compared with
// what it asked for over a longer time; the excess counts for less in the order of a
// queue, so that the others have what they always had. An account that is large at all
// times keeps its share: it is no smaller client's to give.
package fairshare

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Figures of shares, in milliseconds unless they say otherwise.
const (
	// recentSpanMs and usually are the spans over which an account's load is averaged.
	recentSpanMs = 1500.0
	usualSpanMs  = 30_000.0
	// burstTolerance is how many times its usual part of the load an account may have lately
	// until it counts as more.
	burstTolerance = 2.0
	// minFactor bounds what an excess does to the order.
	minFactor = 0.05
	// maxAccounts bounds the accounts that are followed.
	maxAccounts = 20_000
	// minUsualFraction is the part of a mean account's usual load that every account has for
	// usual: one that is seen for the first time is no herd.
	minUsualFraction = 1.0
)

// load is a decaying sum at a moment.
type load struct {
	sum       float64
	updatedAt kumquatlug.Millis
}

func (l load) decayed(now kumquatlug.Millis, span float64) float64 {
	return l.sum * math.Exp(-float64(now-l.updatedAt)/span)
}

func (l *load) add(now kumquatlug.Millis, span, size float64) {
	l.sum = l.decayed(now, span) + size
	l.updatedAt = now
}

// account is what is followed of one.
type account struct{ recent, usual load }

// Shares follows all accounts of a service at one front. It is not safe for concurrent
// use.
type Shares struct {
	accounts map[string]*account
	all      account
}

// New returns shares that have seen nothing.
func New() *Shares { return &Shares{accounts: map[string]*account{}} }

// Asked takes a request of some size and returns the part of its worth with which it
// counts in the order of a queue, above 0 and at most 1.
func (s *Shares) Asked(now kumquatlug.Millis, name string, size float64) float64 {
	a, known := s.accounts[name]
	if !known {
		if len(s.accounts) >= maxAccounts {
			s.evictIdle(now)
		}
		a = &account{}
		s.accounts[name] = a
	}
	factor := s.factor(now, a)
	for _, each := range []*account{a, &s.all} {
		each.recent.add(now, recentSpanMs, size)
		each.usual.add(now, usualSpanMs, size)
	}
	return factor
}

// factor compares the account's rate lately with the rate that it may have: its usual
// one, or that of a mean account.
func (s *Shares) factor(now kumquatlug.Millis, a *account) float64 {
	mean := s.all.usual.decayed(now, usualSpanMs) / float64(len(s.accounts)) / usualSpanMs
	usual := max(a.usual.decayed(now, usualSpanMs)/usualSpanMs, minUsualFraction*mean)
	recent := a.recent.decayed(now, recentSpanMs) / recentSpanMs
	if recent <= burstTolerance*usual {
		return 1
	}
	return max(burstTolerance*usual/recent, minFactor)
}

// evictIdle drops the accounts that asked for next to nothing lately.
func (s *Shares) evictIdle(now kumquatlug.Millis) {
	for name, a := range s.accounts {
		if now-a.usual.updatedAt > kumquatlug.Millis(usualSpanMs) {
			delete(s.accounts, name)
		}
	}
}
