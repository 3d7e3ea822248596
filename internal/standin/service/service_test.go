package service_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/standin/service"
)

// call returns the status and body of the response, or status zero if the
// connection was closed without a response.
func call(t *testing.T, method, url, key, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	// With GetBody, the transport would itself retry a request that has an
	// idempotency key.
	r.GetBody = nil
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

// A service makes a booking and closes the connection before it responds. A
// retry of the call books twice, while the caller sees one receipt and pays two
// deposits. The service must count both runs, else no test could detect it.
func TestRunWithoutResponseIsCounted(t *testing.T) {
	s := service.New(service.Config{LoseResponses: 1})
	h := httptest.NewServer(s.Handler())
	defer h.Close()
	if status, text := call(t, http.MethodPost, h.URL+"/book", "k", "saree"); status != 0 {
		t.Fatalf("the failing call got a response: %d %s", status, text)
	}
	status, text := call(t, http.MethodPost, h.URL+"/book", "k", "saree")
	if status != http.StatusOK || text != string(service.Response(http.MethodPost, "/book", "saree", 0)) {
		t.Fatalf("%d %s", status, text)
	}
	call(t, http.MethodPost, h.URL+"/book", "k", "sherwani")
	call(t, http.MethodGet, h.URL+"/book?day=1", "", "")
	const want = `{"runs":[{"key":"k","body":"saree","count":2},{"key":"k","body":"sherwani","count":1}]}` + "\n"
	if _, runs := call(t, http.MethodGet, h.URL+"/_runs", "", ""); runs != want {
		t.Fatalf("%s", runs)
	}
}

func TestEveryMethodAndLargeResponses(t *testing.T) {
	s := service.New(service.Config{MinResponseBytes: 1 << 20})
	h := httptest.NewServer(s.Handler())
	defer h.Close()
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		const path = "/a//b/%2Fc?q=1"
		status, text := call(t, method, h.URL+path, "", "body")
		if status != http.StatusOK || len(text) < 1<<20 || text != string(service.Response(method, path, "body", 1<<20)) {
			t.Fatalf("%s: %d, %d bytes", method, status, len(text))
		}
	}
	if len(s.Runs()) != 0 {
		t.Fatalf("%v", s.Runs())
	}
}
