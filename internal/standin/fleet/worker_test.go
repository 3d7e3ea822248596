package fleet

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// Requests and calls arrive at an engine while orders change its stage.
func TestStageChangesDuringRequests(t *testing.T) {
	const clients, requests, events = 8, 50, 2
	w := New(Config{ID: "w-0", Service: "engines", Stage: "decode", Events: events, Delay: time.Millisecond})
	serve := func(r *http.Request) *httptest.ResponseRecorder {
		out := httptest.NewRecorder()
		w.ServeHTTP(out, r)
		return out
	}
	var g sync.WaitGroup
	for c := range clients {
		g.Go(func() {
			for n := range requests {
				r := httptest.NewRequest(http.MethodPost, "/long/", http.NoBody)
				id := fmt.Sprintf("%d-%d", c, n)
				r.Header.Set("Attempt-Id", id)
				switch out := serve(r); out.Code {
				case http.StatusMisdirectedRequest:
				case http.StatusOK:
					if sent := strings.Count(out.Body.String(), "data: "+id); sent != events {
						t.Errorf("%s: %d events", id, sent)
					}
				default:
					t.Errorf("%s: status %d", id, out.Code)
				}
				serve(httptest.NewRequest(http.MethodGet, "/v1/report", http.NoBody))
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		g.Wait()
		close(ended)
	}()
	for n := 0; ; n++ {
		body := fmt.Sprintf(`{"op":"stage","stage":%q,"holder":"front-0","fence":1}`, []string{"prefill", "decode"}[n%2])
		if out := serve(httptest.NewRequest(http.MethodPost, "/v1/order", strings.NewReader(body))); out.Code != http.StatusAccepted {
			t.Errorf("order %d: status %d", n, out.Code)
		}
		select {
		case <-ended:
			return
		case <-time.After(50 * time.Microsecond):
		}
	}
}
