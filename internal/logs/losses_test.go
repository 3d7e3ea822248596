package logs

import (
	"fmt"
	"strings"
	"testing"
)

const lossLines = `
front-a | {"level":"info","ts":"2026-12-03T05:00:01.100Z","msg":"answered","node":"a","request":"r1","status":200,"tries":1,"steps":{"queued":0,"read":90,"first":20},"first_ms":110,"target_ms":800,"route":"digest"}
front-a | {"level":"info","ts":"2026-12-03T05:00:01.300Z","msg":"answered","node":"a","request":"r2","status":200,"tries":1,"steps":{"queued":900,"read":90,"first":20},"first_ms":1010,"target_ms":800,"route":"digest"}
front-b | {"level":"info","ts":"2026-12-03T05:00:02.100Z","msg":"answered","node":"b","request":"r3","status":200,"tries":1,"steps":{"queued":10,"read":890,"first":20},"first_ms":920,"target_ms":800,"route":"digest"}
front-b | {"level":"info","ts":"2026-12-03T05:00:02.200Z","msg":"attempt failed","node":"b","request":"r4","step":"place","reason":"overload","route":"digest"}
front-b | {"level":"info","ts":"2026-12-03T05:00:02.200Z","msg":"refused","node":"b","request":"r4","step":"place","reason":"overload","status":503,"route":"digest"}
front-b | {"level":"info","ts":"2026-12-03T05:00:02.300Z","msg":"answered","node":"b","request":"r5","status":500,"tries":2,"steps":{},"first_ms":40,"target_ms":150,"route":"lookup"}
front-b | {"level":"info","ts":"2026-12-03T05:00:02.400Z","msg":"broken off","node":"b","request":"r6","step":"relay","reason":"deadline","route":"digest"}
front-b | {"level":"info","ts":"2026-12-03T05:00:02.500Z","msg":"refused","node":"b","request":"r7","step":"find route","reason":"no_route","status":404}
front-b | {"level":"info","ts":"2026-12-03T05:00:03.100Z","msg":"answered","node":"b","request":"r8","status":200,"tries":1,"steps":{"queued":0,"first":6,"longest_pause":181,"events":36,"pause_allowed":150,"paused_at":"w1","beside_tokens":9000,"beside_requests":7},"first_ms":6,"target_ms":120,"route":"summary"}
front-b | {"level":"info","ts":"2026-12-03T05:00:03.200Z","msg":"answered","node":"b","request":"r9","status":200,"tries":1,"steps":{"queued":0,"first":6,"longest_pause":149,"events":36,"pause_allowed":150},"first_ms":6,"target_ms":120,"route":"summary"}
front-b | {not a line
`

// An engineer on call investigates slow and failed requests from the gateways' logs alone.
// Each loss must be counted once, with the step that caused it and the id of an example.
func TestLossesAreCountedByRouteAndCause(t *testing.T) {
	l, err := ReadLosses(strings.NewReader(lossLines))
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{
		"digest late: waited for an engine": "r2",
		"digest late: prompt was read":      "r3",
		"digest refused: overload":          "r4",
		"digest broken off: deadline":       "r6",
		"lookup worker failed: 500":         "r5",
		"summary late: paused":              "r8",
	}
	got := l.Sorted()
	for _, loss := range got {
		name := loss.Route() + " " + string(loss.Cause())
		if id, known := want[name]; !known || loss.Count() != 1 || loss.Examples()[0] != id {
			t.Errorf("%s: %d, %v", name, loss.Count(), loss.Examples())
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d losses, want %d", len(got), len(want))
	}
	var b strings.Builder
	if err := l.Print(&b); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"summary: 1 in time", "paused at w1: 1, longest 181 ms, beside 7 requests and 9000 tokens", "05:00:03      1     1     0", "digest: 1 in time", "05:00:01      1     1     0", "05:00:02      0     1     3", "1 lines could not be read",
	} {
		if !strings.Contains(b.String(), line) {
			t.Errorf("missing %q in\n%s", line, b.String())
		}
	}
}

// One account of thirty is refused half of its requests, another has too few requests to be
// judged. The report must name the first one and no other.
func TestWorstAccountsAreListed(t *testing.T) {
	var lines strings.Builder
	for i := range 30 * 40 {
		message := `"answered","status":200,"first_ms":10,"target_ms":100`
		if i%30 == 7 && i%60 == 7 {
			message = `"refused","status":503,"reason":"overload"`
		}
		fmt.Fprintf(&lines, `{"ts":"2026-12-03T05:00:01Z","msg":%s,"route":"r","account":"a%d"}`+"\n", message, i%30)
	}
	lines.WriteString(`{"ts":"2026-12-03T05:00:01Z","msg":"refused","status":503,"reason":"x","account":"small"}` + "\n")
	lines.WriteString(`{"ts":"2026-12-03T05:00:01Z","msg":"refused","status":401,"reason":"unknown_key"}` + "\n")
	l, err := ReadLosses(strings.NewReader(lines.String()))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := l.Print(&b); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]bool{
		"account a7: 0.500 in time of 40, 0 late, 20 not served": true, "denied: 1 unknown_key": true, "account small": false, "account a29": false,
	} {
		if strings.Contains(b.String(), text) != want {
			t.Errorf("%q: in the report %v, want %v\n%s", text, !want, want, b.String())
		}
	}
}
