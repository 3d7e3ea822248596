package logs

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Limits of the report on accounts.
const (
	// minRequests is the number of requests from which an account is reported.
	minRequests = 20
	// worstAccountsDivisor sets the fraction of accounts to report, one in so many;
	// maxWorstAccounts limits their number.
	worstAccountsDivisor = 10
	maxWorstAccounts     = 20
)

// accountStats counts the requests of one account by result.
type accountStats struct {
	name                    string
	onTime, late, notServed int
}

func (a *accountStats) total() int { return a.onTime + a.late + a.notServed }

// onTimeFraction returns the fraction of requests that were answered in time.
func (a *accountStats) onTimeFraction() float64 { return float64(a.onTime) / float64(a.total()) }

// accountFor returns the counts of a line's account; for a line without one, counts that
// are not reported.
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

// worstAccounts returns the accounts with the smallest fraction in time, the worst first.
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

// writeAccounts writes the worst tenth of the accounts, and the denied requests by reason.
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
