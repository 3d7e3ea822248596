package engine_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/standin/engine"
)

func TestSmoke(t *testing.T) {
	e := engine.New(engine.Config{TimeScale: 0.01})
	s := httptest.NewServer(e.Handler())
	defer s.Close()
	for _, b := range []string{`{"prompt":"hello","max_tokens":3}`, `{"prompt":"hello","max_tokens":3,"stream":true,"resume_tokens":1,"stream_options":{"include_usage":true,"continuous_usage_stats":true}}`} {
		r, err := http.Post(s.URL+"/v1/completions", "application/json", strings.NewReader(b))
		if err != nil {
			t.Fatal(err)
		}
		x, _ := io.ReadAll(r.Body)
		t.Log(string(x), engine.Answer("hello", 3))
	}
	for _, p := range []string{"/load", "/state", "/cache/events?after=0", "/v1/models"} {
		r, err := http.Get(s.URL + p)
		if err != nil {
			t.Fatal(err)
		}
		x, _ := io.ReadAll(r.Body)
		t.Log(string(x))
	}
}
