package gateway

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Guards against a stream that is broken off at once when its engine fails, because it had waited for a full version before
// it began and that wait is over.
func TestStreamThatHasBegunWaitsForItsVersionAgain(t *testing.T) {
	f := newTestGateway(t, versionedEngines(0), manyRetries)
	service, _ := f.g.table.Load().Service("engines")
	now := f.g.c.Clock.Now()
	r := &inflight{
		g: f.g, service: service, request: kumquatlug.NewRequest(kumquatlug.RequestConfig{ID: "new"}), arrived: now, deadline: now + 600,
	}
	for _, route := range testConfig(8).Routes {
		if route.Prefix() == "/long/" {
			r.route = route
		}
	}
	r.versionWait.full = true
	if !r.awaitVersion(t.Context(), 0) {
		t.Fatal("the new stream has not waited")
	}
	for sleep(t.Context(), versionWaitInterval) && f.g.c.Clock.Now() < r.versionWait.until {
	}
	r.deadline += 10 * kumquatlug.Second
	r.responseStarted = true
	if !r.awaitVersion(t.Context(), 0) {
		t.Error("the stream that has begun does not wait")
	}
}
