package gateway

import (
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/accounts"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routes"
)

// maxFeedSilence is for how long a store that serves this front may say nothing: it answers
// at the end of each wait, and a call may take that much longer.
const maxFeedSilence = feedPollWait + storeCallTimeout

// authenticate finds the account of a request by its key, or the answer to a request
// that has no right to its route. An account on a public route is known only if its
// key is.
func (g *Gateway) authenticate(
	table *routes.Table, route kumquatlug.Route, request kumquatlug.Ask,
) (kumquatlug.Caller, *kumquatlug.Failure) {
	accountIndex := table.Accounts()
	if accountIndex == nil {
		return kumquatlug.Caller{}, nil
	}
	account, verdict := accountIndex.Find(request.Credential())
	switch {
	case route.Public():
		return account, nil
	case g.c.FailClosed && g.configAge() > g.c.RevokeSpan:
		return kumquatlug.Caller{}, refusal("authenticate", "keys_stale", http.StatusServiceUnavailable, noConfigRetryAfter)
	case verdict == accounts.VerdictKnown:
		return account, nil
	}
	g.metrics.denied.WithLabelValues(string(verdict)).Inc()
	denied := refusal("authenticate", string(verdict), http.StatusUnauthorized, 0)
	if verdict == accounts.VerdictUnknownKey {
		denied = g.deniedUnlessStale(denied)
	}
	return kumquatlug.Caller{}, denied
}

// configAge returns for how long the store has not told what config is in force.
func (g *Gateway) configAge() kumquatlug.Millis {
	return g.c.Awake.Now() - kumquatlug.Millis(g.configConfirmedAt.Load())
}

// deniedUnlessStale returns the final answer to a request that the config in force does not
// allow. A client does not try again after one. A front that was cut off from the
// store may not know the config that allows it, and sends the client to another
// front instead.
func (g *Gateway) deniedUnlessStale(denied *kumquatlug.Failure) *kumquatlug.Failure {
	if g.c.ConfigSpan == 0 || g.configAge() <= max(g.c.ConfigSpan, maxFeedSilence) {
		return denied
	}
	return refusal(denied.Step(), "config_stale", http.StatusServiceUnavailable, noConfigRetryAfter)
}

// reauthenticate looks at the key again right before something is sent to a worker, as
// it may have been taken away, or have gone to another account, while the request
// waited. Nothing is begun for a key that is gone; an answer of which the client has
// a part is finished, as the account had a right to it when it began.
func (f *inflight) reauthenticate(s stage, a *placement.Ticket) *attemptFailure {
	table := f.g.table.Load()
	if f.responseStarted || table == nil || table.Version() == f.configVersion && !f.g.c.FailClosed {
		return nil
	}
	account, denied := f.g.authenticate(table, f.route, f.request)
	if denied != nil {
		f.endAttempt(s, a, placement.OutcomeSilent)
		return &attemptFailure{permanent: true, failure: denied}
	}
	if account.Name() != f.request.Account() {
		f.account, f.request = account, f.request.WithAccount(account.Name())
	}
	return nil
}

// priority returns the rank of a request, 0 first: its account's, or its route's.
func (f *inflight) priority() int {
	if rank, ranked := f.account.Priority(); ranked {
		return rank
	}
	return f.route.Priority()
}
