package gateway

import (
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/accounts"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routes"
)

// maxFeedSilence is the longest time, in ms, for which a working store may send nothing:
// it responds at the end of each poll, and a call may take storeCallTimeout longer.
const maxFeedSilence = feedPollWait + storeCallTimeout

// authenticate returns the account of the request's key, or the failure to send if the
// request may not use its route. On a public route the account is set only if the key is
// known.
func (g *Gateway) authenticate(
	table *routes.Table, route kumquatlug.Route, request kumquatlug.Request,
) (kumquatlug.Caller, *kumquatlug.Failure) {
	accountIndex := table.Accounts()
	if accountIndex == nil {
		return kumquatlug.Caller{}, nil
	}
	account, keyStatus := accountIndex.Find(request.Credential())
	switch {
	case route.Public():
		return account, nil
	case g.keysStale():
		return kumquatlug.Caller{}, refusal("authenticate", reasonKeysStale, http.StatusServiceUnavailable, noConfigRetryAfter)
	case keyStatus == accounts.KeyKnown:
		return account, nil
	}
	g.metrics.denied.WithLabelValues(string(keyStatus)).Inc()
	denied := refusal("authenticate", string(keyStatus), http.StatusUnauthorized, 0)
	if keyStatus == accounts.KeyUnknown {
		denied = g.deniedUnlessStale(denied)
	}
	return kumquatlug.Caller{}, denied
}

// keysStale reports whether this gateway refuses all requests that need a key.
func (g *Gateway) keysStale() bool {
	return g.c.FailClosed && g.configAge() > g.c.MaxRevocationDelay
}

// configAge returns the time in ms since the store last confirmed the config in force.
func (g *Gateway) configAge() kumquatlug.Millis {
	return g.c.BootClock.Now() - kumquatlug.Millis(g.configConfirmedAt.Load())
}

// deniedUnlessStale returns the final response to a request that the config in force
// does not allow. A client does not retry after it. A gateway that is partitioned from
// the store may not have the config that allows the request; it responds 503 instead, so
// that the client retries at another gateway.
func (g *Gateway) deniedUnlessStale(denied *kumquatlug.Failure) *kumquatlug.Failure {
	if g.c.MaxConfigDelay == 0 || g.configAge() <= max(g.c.MaxConfigDelay, maxFeedSilence) {
		return denied
	}
	return refusal(denied.Step(), reasonConfigStale, http.StatusServiceUnavailable, noConfigRetryAfter)
}

// reauthenticate checks the key again immediately before an attempt is sent to a worker:
// it may have been revoked or assigned to another account while the request was queued.
// Nothing is started for a revoked key. A response of which the client has received a
// part is completed, because the account was entitled to it when it started.
func (f *inflight) reauthenticate(s stage, a *placement.Attempt) *attemptFailure {
	table := f.g.table.Load()
	if f.responseStarted || table == nil || table.Version() == f.configVersion && !f.g.c.FailClosed {
		return nil
	}
	account, denied := f.g.authenticate(table, f.route, f.request)
	if denied != nil {
		f.endAttempt(s, a, placement.OutcomeNeutral)
		return &attemptFailure{permanent: true, failure: denied}
	}
	if account.Name() != f.request.Account() {
		f.account, f.request = account, f.request.WithAccount(account.Name())
	}
	return nil
}

// priority returns the priority of the request, 0 is the highest: the account's, if it
// has one, else the route's.
func (f *inflight) priority() int {
	if priority, ok := f.account.Priority(); ok {
		return priority
	}
	return f.route.Priority()
}
