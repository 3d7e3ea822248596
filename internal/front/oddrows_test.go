package front

import (
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Rows of other writers among those of the gateways. Guards against a look-up of a name, during which no message is sent
// or received, and against a row that keeps the sound ones from being used.
func TestOddRowsNameNoGateway(t *testing.T) {
	core, logged := observer.New(zap.WarnLevel)
	n, other := newTestGateway(t, "edge-a-1", "127.0.0.1:0"), newTestGateway(t, "edge-b-1", "127.0.0.1:0")
	key := `"AAAAAAAAAAAAAAAAAAAAAA=="`
	rows := map[string][]byte{"edge-b-1": other.Row()}
	for i, odd := range []string{
		"", "i", "\xff", "[]", "null", strings.Repeat("[", 40_000), `{"address":7}`, `{"link_bytes_per_ms":1e400,"address":"127.0.0.1:80","key":` + key + `}`,
		`{"address":"localhost:80","key":` + key + `}`, `{"address":"gateway.invalid:80","key":` + key + `}`, `{"address":"127.0.0.1:http","key":` + key + `}`,
		`{"address":"127.0.0.1:0","key":` + key + `}`, `{"address":"127.0.0.1:99999","key":` + key + `}`, `{"address":"0.0.0.0:80","key":` + key + `}`,
		`{"address":"[::1]:80","key":` + key + `}`, `{"address":"127.0.0.1:80","key":"AA=="}`, `{"address":"127.0.0.1:80","key":"?"}`,
	} {
		rows[fmt.Sprint("odd-", i)] = []byte(odd)
	}
	rows[strings.Repeat("x", 1000)] = other.Row()
	n.config.Logger = zap.New(core)
	for range 2 {
		reachable, _ := n.UpdatePeers(rows)
		if len(reachable) != 2 || reachable[0] != "edge-a-1" || reachable[1] != "edge-b-1" {
			t.Errorf("reachable %.200q", reachable)
		}
	}
	if lines := logged.Len(); lines == 0 || lines > len(rows) {
		t.Errorf("%d lines of %d rows that were read twice", lines, len(rows))
	}
}
