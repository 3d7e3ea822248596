// Package fairshare lowers the weight of accounts that exceed their usual share of the load.
//
// An account may send a burst, or retry refused requests immediately, while the other
// accounts send their usual load. In a queue ordered by value alone, the burst displaces
// requests of all accounts in proportion. The recent load of an account is therefore compared
// with its load over a longer time, and the excess lowers the weight of its requests in the
// queue, so that the other accounts keep their usual share. An account that is always large
// keeps its share, too.
package fairshare

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of the load averages and weights.
const (
	// recentSpanMs and usualSpanMs are the time constants of an account's load averages.
	recentSpanMs = 1500.0
	usualSpanMs  = 30_000.0
	// burstTolerance is the ratio of recent to usual load above which the weight is lowered.
	burstTolerance = 2.0
	// minFactor is the lowest weight.
	minFactor = 0.05
	// maxAccounts is the number of accounts above which idle ones are evicted.
	maxAccounts = 20_000
	// minUsualFraction is the least usual load of any account, as a fraction of the mean
	// account's usual load: the first requests of a new account are not a burst.
	minUsualFraction = 1.0
)

// load is an exponentially decaying sum, valid at updatedAt.
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

// account holds the load averages of one account.
type account struct{ recent, usual load }

// Shares tracks the accounts of a service at one gateway. It is not safe for concurrent use.
type Shares struct {
	accounts map[string]*account
	all      account
}

// New returns shares without any accounts.
func New() *Shares { return &Shares{accounts: map[string]*account{}} }

// RecordRequest records a request and returns the factor for its value in the order of a queue,
// greater than 0 and at most 1. The size is in any unit, the same for all requests.
func (s *Shares) RecordRequest(now kumquatlug.Millis, name string, size float64) float64 {
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

// factor returns the factor from the ratio of the account's recent rate to its usual one, or
// to that of the mean account if that is higher.
func (s *Shares) factor(now kumquatlug.Millis, a *account) float64 {
	mean := s.all.usual.decayed(now, usualSpanMs) / float64(len(s.accounts)) / usualSpanMs
	usual := max(a.usual.decayed(now, usualSpanMs)/usualSpanMs, minUsualFraction*mean)
	recent := a.recent.decayed(now, recentSpanMs) / recentSpanMs
	if recent <= burstTolerance*usual {
		return 1
	}
	return max(burstTolerance*usual/recent, minFactor)
}

// evictIdle removes the accounts without requests in the last usualSpanMs.
func (s *Shares) evictIdle(now kumquatlug.Millis) {
	for name, a := range s.accounts {
		if now-a.usual.updatedAt > kumquatlug.Millis(usualSpanMs) {
			delete(s.accounts, name)
		}
	}
}
