package gateway

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of the statistics by account.
const (
	// accountDecayMs is the time constant of the moving average of an account's
	// responses, in ms.
	accountDecayMs = 30_000.0
	// minJudgedRequests is the decayed number of requests from which on an account is
	// reported.
	minJudgedRequests = 20.0
	// maxWorstAccounts bounds the accounts that the metrics name.
	maxWorstAccounts = 8
)

// accountStats tracks the fraction of each account's requests that are served on time.
type accountStats struct {
	mu       sync.Mutex
	accounts map[string]*accountCounts
}

// accountCounts are exponentially decaying counts as of a time.
type accountCounts struct {
	total, onTime float64
	at            kumquatlug.Millis
}

func (a *accountCounts) decay(now kumquatlug.Millis) {
	factor := math.Exp(-float64(now-a.at) / accountDecayMs)
	a.total *= factor
	a.onTime *= factor
	a.at = now
}

// note counts a completed request.
func (s *accountStats) note(now kumquatlug.Millis, account string, onTime bool) {
	if account == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a, known := s.accounts[account]
	if !known {
		if s.accounts == nil {
			s.accounts = map[string]*accountCounts{}
		}
		a = &accountCounts{at: now}
		s.accounts[account] = a
	}
	a.decay(now)
	a.total++
	if onTime {
		a.onTime++
	}
}

// worst returns the fraction on time of the accounts with the lowest, and removes
// accounts without recent requests.
func (s *accountStats) worst(now kumquatlug.Millis) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	type accountFraction struct {
		name   string
		onTime float64
	}
	var all []accountFraction
	for name, a := range s.accounts {
		a.decay(now)
		switch {
		case a.total >= minJudgedRequests:
			all = append(all, accountFraction{name, a.onTime / a.total})
		case a.total < 0.01:
			delete(s.accounts, name)
		}
	}
	slices.SortFunc(all, func(a, b accountFraction) int {
		return cmp.Or(cmp.Compare(a.onTime, b.onTime), cmp.Compare(a.name, b.name))
	})
	fractions := map[string]float64{}
	for _, a := range all[:min(len(all), maxWorstAccounts)] {
		fractions[a.name] = a.onTime
	}
	return fractions
}

// exportWorstAccounts sets the metric of the accounts with the lowest fraction on time.
func (g *Gateway) exportWorstAccounts() {
	g.metrics.worstAccounts.Reset()
	for account, fraction := range g.accounts.worst(g.c.Clock.Now()) {
		g.metrics.worstAccounts.WithLabelValues(account).Set(fraction)
	}
}
