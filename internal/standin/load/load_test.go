package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"github.com/kumquatlug/kumquatlug/internal/standin/engine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func startServer(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func newEngine() http.Handler {
	return engine.New(engine.Config{TimeScale: 0.0001}).Handler()
}

func runLoad(t *testing.T, c Config) *Report {
	t.Helper()
	g, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return g.Run(context.Background())
}

func TestCompleteResponsesAreCountedInEveryForm(t *testing.T) {
	url := startServer(t, newEngine())
	for _, form := range []ResponseKind{ResponseStreamed, ResponseUnstreamed, ResponseMixed} {
		for _, rate := range []float64{0, 5000} {
			r := runLoad(t, Config{URL: url, Count: 60, Rate: rate, ResponseKind: form, Mix: Mix{LongShare: 0.5, Documents: 3}})
			if r.Complete() != 60 || r.usageWrong != 0 || r.firstToken.TotalCount() != 60 || r.ran[noRanHeader] != 60 {
				t.Fatalf("form %s, rate %v: got %+v, want 60 complete responses", form, rate, r)
			}
		}
	}
}

// modifyResponses returns a handler that applies modify to the responses of h.
func modifyResponses(h http.Handler, modify func(index int64, response *httptest.ResponseRecorder)) http.Handler {
	var index atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorded := httptest.NewRecorder()
		h.ServeHTTP(recorded, r)
		modify(index.Add(1)-1, recorded)
		for name, values := range recorded.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorded.Code)
		w.Write(recorded.Body.Bytes())
	})
}

// A system that loses, duplicates or swaps tokens, or ends a stream early, must
// not be reported as working: the figures would not show it.
func TestDamagedResponsesAreNotCountedAsComplete(t *testing.T) {
	replaceBody := func(response *httptest.ResponseRecorder, from, to string) {
		text := strings.Replace(response.Body.String(), from, to, 1)
		response.Body.Reset()
		response.Body.WriteString(text)
	}
	url := startServer(t, modifyResponses(newEngine(), func(index int64, response *httptest.ResponseRecorder) {
		switch index % 5 {
		case 0:
			replaceBody(response, `"text":" w`, `"text":" v`)
		case 1:
			first, rest, _ := strings.Cut(response.Body.String(), "\n\n")
			replaceBody(response, first+"\n\n"+rest, first+"\n\n"+first+"\n\n"+rest)
		case 2:
			replaceBody(response, "data: [DONE]", "")
		case 3:
			response.Code = http.StatusTooManyRequests
			response.Header().Set("Kumquatlug-Ran", "not-run")
		case 4:
			replaceBody(response, `"completion_tokens":`, `"completion_tokens":1`)
		}
	}))
	r := runLoad(t, Config{URL: url, Count: 50, Mix: Mix{LongResponse: 5}})
	if r.outcomes["wrong"] != 20 || r.outcomes["cut"] != 10 || r.Invalid() != 30 {
		t.Fatalf("%v", r.outcomes)
	}
	if r.Rejected() != 10 || r.withoutRetryAfter != 10 || r.ran["not-run"] != 10 || r.statuses["429"] != 10 {
		t.Fatalf("outcomes %v, %d without Retry-After, by ran %v, by status %v", r.outcomes, r.withoutRetryAfter, r.ran, r.statuses)
	}
	if r.Complete() != 10 || r.usageWrong != 10 || r.totalTime.TotalCount() != 10 {
		t.Fatalf("outcomes %v, wrong usage %d", r.outcomes, r.usageWrong)
	}
}

// A generator that waits for responses before it sends more requests reduces
// the load on a slow system, and its latencies do not include the queueing
// delay.
func TestOpenLoopDoesNotWaitForResponses(t *testing.T) {
	const count = 40
	var arrived atomic.Int64
	all := make(chan struct{})
	h := newEngine()
	url := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == count {
			close(all)
		}
		<-all
		h.ServeHTTP(w, r)
	}))
	if r := runLoad(t, Config{URL: url, Count: count, Rate: 2000}); r.Complete() != count {
		t.Fatalf("%v", r.outcomes)
	}
}

func TestMixShiftsAndIsDeterministic(t *testing.T) {
	m := Mix{LongShare: 0.9, ShiftTime: 100, ShiftedShare: 0.1, Documents: 4}.withDefaults()
	const count = 1000
	long := func(at kumquatlug.Millis) (n int) {
		for i := range count {
			r := m.request(1, 0, i, at)
			if r != m.request(1, 0, i, at) {
				t.Fatal("the same index gave two different requests")
			}
			if engine.PromptTokens(r.prompt) == m.LongPrompt && r.maxTokens == m.ShortResponse {
				n++
			}
		}
		return n
	}
	// Three standard deviations of 1,000 draws at 0.9 are 28.
	if before, after := long(99), long(100); before < 872 || before > 928 || after < 72 || after > 128 {
		t.Fatalf("%d long prompts before and %d after the shift, want 900 and 100, each within 28", before, after)
	}
}

func TestCompareSendsTheSameLoadToBoth(t *testing.T) {
	h := newEngine()
	direct, through := startServer(t, h), startServer(t, h)
	comparison, err := Compare(context.Background(), Config{URL: through, Keys: []string{"k"}, Count: 20}, direct, 3)
	if err != nil || comparison.Direct().Complete() != 60 || comparison.ThroughSystem().Complete() != 60 || comparison.direct.tokens != comparison.through.tokens {
		t.Fatalf("%+v %v", comparison, err)
	}
	if _, err := json.Marshal(comparison); err != nil || comparison.Ratio() <= 0 {
		t.Fatalf("%v, ratio %v", err, comparison.Ratio())
	}
}

func TestNewRejectsInvalidConfigs(t *testing.T) {
	const loopbackURL = "http://127.0.0.1:1"
	for _, c := range []Config{
		{URL: "http://10.0.0.1:80"},
		{URL: "http://example.com"},
		{URL: "https://127.0.0.1"},
		{URL: "127.0.0.1:80"},
		{URL: loopbackURL, Count: maxRequests + 1},
		{URL: loopbackURL, Duration: maxDuration + 1},
		{URL: loopbackURL, ResponseKind: "half"},
		{URL: loopbackURL, Mix: Mix{LongShare: 2}},
		{URL: loopbackURL, Rate: -1},
	} {
		if _, err := New(c); err == nil {
			t.Errorf("%+v was accepted", c)
		}
	}
	if _, err := New(Config{URL: loopbackURL}); err != nil {
		t.Error(err)
	}
}
