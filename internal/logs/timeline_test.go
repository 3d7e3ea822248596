package logs

import (
	"strings"
	"testing"
)

// timelineLines are log lines of two gateways with the prefixes that a collector adds.
const timelineLines = `  0.1 front-1 {"level":"info","ts":"2026-12-03T10:00:00.100Z","msg":"attempt failed","node":"front-1","request":"r1","worker":"w1","step":"run","reason":"worker_failed","ran":"unknown"}
  0.2 front-1 {"level":"info","ts":"2026-12-03T10:00:00.250Z","msg":"answered","node":"front-1","request":"r1","worker":"w2","status":200,"steps":{"reader":"w3"}}
not a line of ours about r1
{"level":"info","ts":"2026-12-03T10:00:00.050Z","msg":"worker","node":"front-2","worker":"w1","state":"draining"}
{"level":"info","ts":"2026-12-03T10:00:01.000Z","msg":"refused","node":"front-2","request":"r2","step":"place","reason":"overload","ran":"not-run","status":503}
{"level":"info","ts":"2026-12-03T10:00:02.000Z","msg":"refused","node":"front-2","request":"r3","step":"exchange","reason":"peer_failed","ran":"unknown","status":502}
{"level":"info","ts":"2026-12-03T10:00:03.000Z","msg":"plan","node":"front-2","roles":{"w3":"prefill"}}
`

func timelineText(t *testing.T, subject string) string {
	t.Helper()
	s, err := ReadTimeline(strings.NewReader(timelineLines), subject)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := s.Print(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// An engineer on call has the id of a failed request and the logs of all gateways. The
// timeline must show which workers were tried and the outcome.
func TestTimelineByRequestWorkerAndVM(t *testing.T) {
	for subject, want := range map[string][]string{
		"r1": {"0.000 s  front-1", "attempt failed", `reason="worker_failed"`, "0.150 s", "answered", `worker="w2"`, "has the worker's answer", "1 lines"},
		"r2": {"overload", "nothing ran and nothing will"},
		"r3": {"peer_failed", "may have run"},
		"w1": {"0.000 s  front-2", `state="draining"`, "attempt failed"},
		"w3": {"answered", "plan"},
	} {
		output := timelineText(t, subject)
		for _, text := range want {
			if !strings.Contains(output, text) {
				t.Errorf("%s: %q is missing in\n%s", subject, text, output)
			}
		}
	}
	if output := timelineText(t, "front-2"); strings.Count(output, "\n") != 4 {
		t.Errorf("timeline of a VM:\n%s", output)
	}
	s, err := ReadTimeline(strings.NewReader(timelineLines), "nobody")
	if err != nil || s.Print(&strings.Builder{}) == nil {
		t.Errorf("timeline of an unknown subject: read error %v, or Print returned nil", err)
	}
}

// Guards against a refused request whose logs do not lead to the crashes behind it.
func TestTimelineLeadsFromRefusedRequestToCrashes(t *testing.T) {
	const lines = `{"ts":"2026-12-03T10:00:01Z","msg":"worker crashed","node":"front-1","worker":"w1","requests":["r1","r2"],"suspects":["part:dead","request:f00d"]}
{"ts":"2026-12-03T10:00:02Z","msg":"quarantine","node":"front-1","quarantine":"k1","identities":["part:dead"],"crashes":["w1/7"],"event":"quarantined"}
{"ts":"2026-12-03T10:00:03Z","msg":"refused","node":"front-2","request":"r9","reason":"quarantined","quarantine":"k1","identities":["part:dead"],"crashes":["w1/7"]}
{"ts":"2026-12-03T10:00:04Z","msg":"answered","node":"front-2","request":"dead-letter"}
`
	for subject, want := range map[string]int{"r9": 1, "k1": 2, "dead": 3, "w1": 3, "r2": 1, "f00d": 1} {
		got, err := ReadTimeline(strings.NewReader(lines), subject)
		if err != nil || len(got.Lines()) != want {
			t.Errorf("%s: %d lines, error %v, want %d", subject, len(got.Lines()), err, want)
		}
	}
}
