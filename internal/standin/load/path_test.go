package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/standin/engine"
)

const sampleMetrics = `# HELP process_cpu_seconds_total help
process_cpu_seconds_total 1.5
go_memstats_mallocs_total 1e+06
go_memstats_alloc_bytes_total 2048
kumquatlug_entry_wait_seconds_sum{kind="a"} 0.25
kumquatlug_entry_wait_seconds_sum{kind="b"} 0.5
kumquatlug_entry_wait_seconds_count{kind="a"} 3
`

func TestParseUsageSumsLabeledSeries(t *testing.T) {
	got, err := parseUsage(strings.NewReader(sampleMetrics))
	want := ResourceUsage{cpuSeconds: 1.5, allocations: 1e6, allocatedBytes: 2048, waitSeconds: 0.75, waitCount: 3}
	if err != nil || got != want {
		t.Fatalf("got %+v, error %v", got, err)
	}
}

// One engine serves both the direct runs and those through the path. In both,
// every response must be complete, with a latency for each of its tokens.
func TestMeasurePathTimesEveryToken(t *testing.T) {
	e := httptest.NewServer(engine.New(engine.Config{Models: []string{StampedModel}, StampTokens: true, DecodeTime: 2}).Handler())
	defer e.Close()
	metrics := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, sampleMetrics)
	}))
	defer metrics.Close()
	const tokens = 5
	overhead, err := MeasurePath(context.Background(), PathConfig{
		GatewayURL: e.URL, Key: "k", StampedEngines: []string{e.URL}, Streams: 4, Tokens: tokens, TokenTime: 2, StreamDuration: 100,
		Processes: []Process{{Name: "entry", URL: metrics.URL, Client: http.DefaultClient}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if overhead.Invalid() != 0 || overhead.Streams.through.Complete() == 0 {
		t.Fatalf("%d invalid and %d complete responses, want none invalid", overhead.Invalid(), overhead.Streams.through.Complete())
	}
	for _, r := range []*Report{overhead.Streams.direct, overhead.Streams.directRepeat, overhead.Streams.through} {
		if got, want := r.transit.perToken.TotalCount(), int64(r.Complete()*tokens); got != want {
			t.Errorf("%d token times, want %d", got, want)
		}
	}
	var table strings.Builder
	if err := overhead.WriteTable(&table); err != nil || !strings.Contains(table.String(), "down, each token") {
		t.Fatalf("%v: %s", err, table.String())
	}
}
