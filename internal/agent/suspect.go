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

// suspectKeyPrefix starts the keys of the claims under which suspects run.
const suspectKeyPrefix = "suspect/"

// tableTimeout bounds one call to the table outside the ledger.
const tableTimeout = 2 * time.Second

// claimSuspect wins the claim under which a suspect runs once in the whole
// fleet. Two entries that each send a copy of a request that crashes targets
// would otherwise have it crash two more. While the table is out suspects run
// without: that costs a second copy its bound, and waiting would fail every
// neighbour of every crash for as long as the table is out.
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
	a.c.Logger.Warn("a suspect runs without its claim", zap.String("request", work.Request()), timeline.ErrorField(err))
	return nil
}

// releaseSuspectClaim removes the claim of a suspect that has finished.
func (a *Agent) releaseSuspectClaim(work peer.Work) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	err := a.c.Table.Commit(ctx, kumquatlug.NewTx(ulid.Make().String()).Delete(suspectKeyPrefix+work.Fingerprint()))
	if err != nil {
		a.c.Logger.Warn("can't remove a suspect's claim", zap.String("request", work.Request()), timeline.ErrorField(err))
	}
}

// checkCrash looks whether the target is gone after a call broke off, and returns
// what its request is now known for. A target that still answers only broke one
// connection; an entry that hung up broke it itself.
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
