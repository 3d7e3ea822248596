package lease

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The row of a group is overwritten by another writer. Guards against a group that has no holder any more, against one that
// gets a lower fencing token than before, and against a second holder while the first may still act.
func TestOddRowIsReplacedAfterTTL(t *testing.T) {
	const version = 1000
	for _, value := range []string{
		"", "{", "[]", `{"holder":7}`, `{"holder":"x","number":1e400}`, `{"holder":"x","number":9223372036854775807,"ttl_ms":1}`,
		`{"holder":"x","number":-5,"ttl_ms":1}`, `{"holder":"x","number":5,"ttl_ms":9223372036854775807}`, `{"holder":"x","number":5,"ttl_ms":-1}`,
	} {
		h, err := New(Config{Group: "g", HolderID: "a/1", PreviousIDPrefix: "a/", HandoverDelay: 1000})
		if err != nil {
			t.Fatal(err)
		}
		row := kumquatlug.NewRow(KeyIn("g", 0), []byte(value), version)
		start, acquired := kumquatlug.Millis(5000), kumquatlug.Millis(0)
		for now := start; now < start+120_000 && acquired == 0; now += 50 {
			intent := h.Next(now)
			if intent.Action() == ActionRead {
				intent = h.HandleResponse(now, intent, row, nil)
			}
			if intent.Action() == ActionAcquire {
				h.HandleResponse(now, intent, kumquatlug.Row{}, nil)
				acquired = now
			}
		}
		token, held := h.Held(acquired)
		if acquired < start+h.config.TTL || !held || token <= version {
			t.Errorf("%.60s: acquired %d ms after the row was seen (TTL %d), held %v, token %d", value, acquired-start, h.config.TTL, held, token)
		}
		if h.MayOrder(acquired) {
			t.Errorf("%.60s: orders are sent at once", value)
		}
	}
}
