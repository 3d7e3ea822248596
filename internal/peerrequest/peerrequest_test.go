package peerrequest

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// Guards against a response of which a peer gateway sent a part before its connection ended, and that looks complete.
func TestResponseWithoutMarkedEndIsIncomplete(t *testing.T) {
	for _, ending := range []standin.Ending{standin.EndingFramed, standin.EndingConnection, standin.EndingInside, standin.EndingReset} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			out := NewResponseWriter(w, 7)
			standin.WriteEnding(out, http.StatusOK, []byte("the whole response"), ending)
		}))
		client := NewClient(exchange.New(exchange.Config{Clock: clock.NewMonotonic(), MaxIdlePerAddress: 1}))
		got, err := client.HandOff(t.Context(), kumquatlug.HandoffRequest{
			Address: server.Listener.Addr().String(), From: "a", Key: 7, Header: http.Header{},
			Request: kumquatlug.NewRequest(kumquatlug.RequestConfig{ID: "r", Method: http.MethodPost, Target: "/x", Host: "h"}),
		})
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(got.Response().Body())
		if (err == nil) != (ending == standin.EndingFramed) {
			t.Errorf("%q: %q, %v", ending, text, err)
		}
		got.Response().Body().Close()
		server.Close()
	}
}

// Headers that are incomplete or invalid identify no handed-off request, and none of them
// remains in a request.
func TestInvalidHeadersAreRejectedAndRemoved(t *testing.T) {
	valid := map[string]string{headerFrom: "a", headerKey: "7", headerElapsed: "12", headerProof: "00ff"}
	for name, value := range map[string]string{"": "", headerFrom: "", headerKey: "-1", headerElapsed: "-1", headerProof: "x", headerPrefix + "Other": "y"} {
		h := http.Header{"Kept": {"k"}}
		for n, v := range valid {
			h.Set(n, v)
		}
		if name != "" {
			h.Set(name, value)
		}
		got, err := Decode(h)
		if good := valid[name] == ""; good != (err == nil) || good && (got.Key != 7 || got.Elapsed != 12 || got.From != "a") {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
		if len(h) != 1 {
			t.Errorf("%s: headers left: %v", name, h)
		}
	}
}

// A proof must not be valid for a request that differs in any covered field, nor after moving
// bytes from one field to the next.
func TestProofMessageCoversRequest(t *testing.T) {
	base := kumquatlug.RequestConfig{ID: "i", Method: "POST", Target: "/t", Host: "h", Timeout: 5, Body: kumquatlug.NewBody([]byte("b"))}
	message := func(change func(*kumquatlug.RequestConfig)) []byte {
		c := base
		change(&c)
		return ProofMessage("a", 1, kumquatlug.NewRequest(c))
	}
	original := message(func(*kumquatlug.RequestConfig) {})
	for i, change := range []func(*kumquatlug.RequestConfig){
		func(c *kumquatlug.RequestConfig) { c.ID, c.Method = "iP", "OST" },
		func(c *kumquatlug.RequestConfig) { c.Target = "/u" },
		func(c *kumquatlug.RequestConfig) { c.Host = "g" },
		func(c *kumquatlug.RequestConfig) { c.Timeout = 6 },
		func(c *kumquatlug.RequestConfig) { c.Body = kumquatlug.NewBody([]byte("c")) },
	} {
		if bytes.Equal(original, message(change)) {
			t.Errorf("change %d is not covered", i)
		}
	}
	r := kumquatlug.NewRequest(base)
	if bytes.Equal(original, ProofMessage("b", 1, r)) || bytes.Equal(original, ProofMessage("a", 2, r)) {
		t.Error("sender or key is not covered")
	}
}
