package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// suspectKeyPrefix is the prefix of the keys of the claims of suspects.
const suspectKeyPrefix = "suspect/"

// tableTimeout bounds one call to the table outside the ledger.
const tableTimeout = 2 * time.Second

// claimSuspect obtains the claim that allows a single run of a suspect in the whole
// fleet. Without it, two gateways that each send a copy of a request that crashes
// targets would crash two more. While the table is unavailable, suspects run without
// a claim: a second copy is then not prevented, but waiting would fail every request
// that was in flight at a crash during the outage.
func (a *Agent) claimSuspect(ctx context.Context, work peer.Work) *kumquatlug.Failure {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	tx := kumquatlug.NewTx(ulid.Make().String()).
		If(suspectKeyPrefix+work.Fingerprint(), 0).
		Put(suspectKeyPrefix+work.Fingerprint(), []byte(a.c.Name))
	err := a.c.Table.Commit(ctx, tx)
	if err == nil {
		return nil
	}
	if errors.Is(err, kumquatlug.ErrConflict) {
		return a.refusal("claim suspect", reasonSuspect, err)
	}
	a.c.Logger.Warn("failed to claim a suspect; running it without a claim", zap.String("request", work.Request()), timeline.ErrorField(err))
	return nil
}

// releaseSuspectClaim removes the claim of a suspect that has ended.
func (a *Agent) releaseSuspectClaim(work peer.Work) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	err := a.c.Table.Commit(ctx, kumquatlug.NewTx(ulid.Make().String()).Delete(suspectKeyPrefix+work.Fingerprint()))
	if err != nil {
		a.c.Logger.Warn("failed to release the claim of a suspect", zap.String("request", work.Request()), timeline.ErrorField(err))
	}
}

// checkCrash checks whether the target has crashed after a call failed, and returns the
// crash notice of the request. If the target still responds, only the connection
// broke; if ctx has ended, the gateway itself closed the connection.
func (a *Agent) checkCrash(ctx context.Context, id string, work peer.Work) (notice string) {
	if ctx.Err() != nil {
		return ""
	}
	checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), healthCheckTimeout)
	defer cancel()
	if a.c.Target.Healthy(checkCtx) == nil {
		return ""
	}
	if a.admission.recordCrash(id) {
		a.monitor.markDown()
		a.metrics.crashes.Inc()
		a.c.Ring.Add(timeline.Record{Name: timeline.TargetCrashed, RequestID: work.Request()})
		a.c.Logger.Warn("target crashed", zap.String("request", work.Request()))
	}
	return a.admission.crashNotice(work.Fingerprint())
}
