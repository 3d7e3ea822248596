package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A plan of another writer. Guards against roles that no engine has, which would take the engines from all requests, and
// against weights that no plan of a leader contains.
func TestOddPlansAreIgnored(t *testing.T) {
	for _, value := range []string{
		"", "null", "[", `{"roles":{"d1":"both","d2":"x","p1":"","p2":"x"}}`, `{"roles":7}`, `{"weights":{"p1":1e400}}`, strings.Repeat("[", 40_000),
		`{"weights":{"p1":-1,"p2":0,"d1":1e300}}`,
	} {
		f := newTestGateway(t, &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
			return streamResponse(1, 3), nil
		}}, manyRetries)
		f.g.applyPlanRow(kumquatlug.NewRow(planPrefix+"engines", []byte(value), 1), false)
		if got := f.do(t.Context(), http.MethodPost, "/chat/x?tokens=200,10"); got.status != http.StatusOK {
			t.Errorf("after the plan %.60q: %+v", value, got)
		}
		if weights := f.g.scheduler.ownerWeights("engines"); len(weights) > 0 {
			t.Errorf("after the plan %.60q: weights %v", value, weights)
		}
	}
}
