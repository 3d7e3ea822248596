package logs

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Figures of what is told of accounts.
const (
	// minRequests is from how many requests on an account is judged.
	minRequests = 20
	// worstAccountsDivisor is which part of the accounts is told, as a divisor, maxWorstAccounts how many
	// at most.
	worstAccountsDivisor = 10
	maxWorstAccounts     = 20
)

// accountStats is what became of the requests of one account.
type accountStats struct {
	name                    string
	onTime, late, notServed int
}

func (a *accountStats) total() int { return a.onTime + a.late + a.notServed }

// onTimeFraction is which part was answered in time.
func (a *accountStats) onTimeFraction() float64 { return float64(a.onTime) / float64(a.total()) }

// accountFor returns the counts of a line's account, nil for none.
func (l *Losses) accountFor(line Line) *accountStats {
	account := line.stringField("account")
	if account == "" {
		return &accountStats{}
	}
	a, known := l.accounts[account]
	if !known {
		a = &accountStats{name: account}
		l.accounts[account] = a
	}
	return a
}

// worstAccounts returns the accounts with the smallest part in time, the worst first.
func (l *Losses) worstAccounts() []*accountStats {
	var all []*accountStats
	for _, a := range l.accounts {
		if a.total() >= minRequests {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b *accountStats) int {
		return cmp.Or(cmp.Compare(a.onTimeFraction(), b.onTimeFraction()), cmp.Compare(a.name, b.name))
	})
	return all[:min(len(all), (len(all)+worstAccountsDivisor-1)/worstAccountsDivisor, maxWorstAccounts)]
}

// writeAccounts writes the worst tenth of the accounts, and who was denied.
func (l *Losses) writeAccounts(b *strings.Builder) {
	for _, a := range l.worstAccounts() {
		fmt.Fprintf(b, "account %s: %.3f in time of %d, %d late, %d not served\n", a.name, a.onTimeFraction(), a.total(), a.late, a.notServed)
	}
	reasons := make([]string, 0, len(l.denied))
	for reason := range l.denied {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		fmt.Fprintf(b, "denied: %d %s\n", l.denied[reason], reason)
	}
}
