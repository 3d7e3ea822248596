package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// cutOffWorkers are the workers as a gateway sees them that can't reach some of them.
type cutOffWorkers struct {
	*fakeWorkers
	unreachable map[string]bool
}

func unreachableWorker() error {
	failure := kumquatlug.NewFailure(kumquatlug.FailureConfig{Step: "connect", Reason: "peer_failed", Execution: kumquatlug.NotExecuted})
	return errors.Mark(failure, kumquatlug.ErrUnreachable)
}

func (w *cutOffWorkers) Run(
	ctx context.Context, to kumquatlug.Worker, a kumquatlug.Request, s kumquatlug.AttemptOptions,
) (kumquatlug.WorkerResponse, error) {
	if w.unreachable[to.ID()] {
		return kumquatlug.WorkerResponse{}, unreachableWorker()
	}
	return w.fakeWorkers.Run(ctx, to, a, s)
}

func (w *cutOffWorkers) State(ctx context.Context, to kumquatlug.Worker) (kumquatlug.EngineState, error) {
	if w.unreachable[to.ID()] {
		return kumquatlug.EngineState{}, unreachableWorker()
	}
	return w.fakeWorkers.State(ctx, to)
}

// Guards against streams of all gateways that nobody can take up after a loss of all of them, because one gateway, which
// alone is cut off from the engines of a version, has unbound it.
func TestGatewayCutOffFromEnginesUnbindsNoVersion(t *testing.T) {
	w := versionedEngines(0)
	w.state = func() (kumquatlug.EngineState, error) {
		return kumquatlug.EngineState{Role: kumquatlug.RoleDecode, Load: kumquatlug.NewWorkerLoad(8, 0, 1)}, nil
	}
	fleet := newVersionFleet(t, w, fourEngines)
	fleet.table.advance(2 * kumquatlug.Second)
	fleet.gateways["b"].beginEpoch(t, streamversion.Weights{"v1": 1, "v2": 1})
	fleet.table.advance(2 * kumquatlug.Second)
	a, b := fleet.gateways["a"], fleet.gateways["b"]
	a.g.c.Workers = &cutOffWorkers{fakeWorkers: w, unreachable: map[string]bool{"d2": true, "d4": true}}
	b.g.streamVersions.prepare(t.Context(), "engines", "first")
	var ids []string
	for n := 0; len(ids) < 6; n++ {
		if id := fmt.Sprint("new-", n); b.g.streamVersions.selectVersion("engines", id) == "v2" {
			ids = append(ids, id)
		}
	}
	for _, id := range ids[:3] {
		a.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {id}})
	}
	for _, id := range ids[3:] {
		if got := b.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {id}}); got.status != http.StatusOK {
			t.Fatalf("%s at a gateway that reaches the engines: status %d", id, got.status)
		}
		if got := b.g.streamVersions.determined(t.Context(), "engines", id); got != "v2" {
			t.Errorf("the listing determines %q for %s, want v2", got, id)
		}
	}
}
