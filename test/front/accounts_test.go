package front

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// API keys of the two client accounts.
const (
	northKey = "north-secret-1"
	southKey = "south-secret-2"
)

// doWithKey sends one request with an API key.
func (p *process) doWithKey(key, method, path, id string, header map[string]string) response {
	headers := map[string]string{"Key": key}
	for name, value := range header {
		headers[name] = value
	}
	return p.do(context.Background(), method, path, id, headers)
}

// Clients of two accounts send requests of each kind, some with a spoofed account
// header. Every attempt must carry the right account and no key, and keys must not
// appear in the log or the metrics, where a reader could use them to act for the account.
func TestWorkersReceiveAccountButNoKey(t *testing.T) {
	s := newSite(t, site.Config{PrefillEngines: 1, DecodeEngines: 1, PlainWorkers: 2, Events: 4, EventDelay: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}, "south": {southKey}})
	p := newGateway(t, s, "front-1")
	spoofed := map[string]string{"tenant": "south", "Connection": "close, Tenant, Key"}
	requireComplete(t, p.doWithKey(northKey, http.MethodPost, site.PathNonIdempotent+"x", "n1", spoofed), fleet.ResponseBody("n1"))
	requireComplete(t, p.doWithKey(northKey, http.MethodGet, site.PathIdempotent+"x", "n2", spoofed), fleet.ResponseBody("n2"))
	requireComplete(t, p.doWithKey(northKey, http.MethodPost, site.PathResumable+"x", "n3", longPromptHeaders("n3")), streamBody("n3", 4))
	requireComplete(t, p.doWithKey(southKey, http.MethodPost, site.PathNonIdempotent+"x", "s1", nil), fleet.ResponseBody("s1"))
	if got := p.doWithKey("none-secret-3", http.MethodPost, site.PathNonIdempotent+"x", "x1", nil); got.status != http.StatusUnauthorized {
		t.Errorf("unknown key: got %+v", got)
	}
	if got := p.post("x2"); got.status != http.StatusUnauthorized {
		t.Errorf("no key: got %+v", got)
	}
	attempts := 0
	for _, w := range append(s.Engines, s.PlainWorkers...) {
		for _, h := range w.ReceivedHeaders() {
			attempts++
			account := map[byte]string{'n': "north", 's': "south"}[h.Get("Attempt-Id")[0]]
			if account == "" || h.Get("Tenant") != account || len(h.Values("Tenant")) != 1 {
				t.Errorf("attempt %s carries account %q", h.Get("Attempt-Id"), h.Values("Tenant"))
			}
			for name, values := range h {
				if name == "Key" || strings.Contains(strings.Join(values, " "), "secret") {
					t.Errorf("attempt %s exposes a key in header %s", h.Get("Attempt-Id"), name)
				}
			}
		}
	}
	if attempts != 5 {
		t.Errorf("workers received %d attempts, want 5", attempts)
	}
	if lines := p.log("secret"); len(lines) != 0 {
		t.Errorf("the log contains a key: %s", lines[0])
	}
	p.kill()
	metricsAddr, err := site.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	p.flags = []string{"--log-level", "debug", "--metrics-listen", metricsAddr}
	p.start()
	p.waitReady()
	requireComplete(t, p.doWithKey(northKey, http.MethodPost, site.PathNonIdempotent+"x", "n5", nil), fleet.ResponseBody("n5"))
	p.doWithKey("none-secret-3", http.MethodPost, site.PathNonIdempotent+"x", "x3", nil)
	response, err := http.Get("http://" + metricsAddr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	metrics, err := io.ReadAll(response.Body)
	if err != nil || !strings.Contains(string(metrics), "kumquatlug_gateway_denied_total") || strings.Contains(string(metrics), "secret") {
		t.Errorf("metrics of %d bytes lack the denied requests or contain a key; error %v", len(metrics), err)
	}
	if lines := p.log("secret"); len(lines) != 0 {
		t.Errorf("the log contains a key: %s", lines[0])
	}
}

// One key is revoked, another moves to a different account, and one account loses its
// last key. A gateway that kept the old config would serve clients without access for
// as long as it runs.
func TestRevokedKeysAreRejected(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 1, EventDelay: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey, "north-secret-9"}, "south": {southKey}})
	p := newGateway(t, s, "front-1")
	requireComplete(t, p.doWithKey(southKey, http.MethodPost, site.PathNonIdempotent+"x", "s1", nil), fleet.ResponseBody("s1"))
	s.SetAccounts(map[string][]string{"north": {northKey, southKey}, "south": {}})
	eventually(t, "the change takes effect", func() bool { return len(p.log("config in force")) == 2 })
	requireComplete(t, p.doWithKey(southKey, http.MethodPost, site.PathNonIdempotent+"x", "n2", nil), fleet.ResponseBody("n2"))
	if got := p.doWithKey("north-secret-9", http.MethodPost, site.PathNonIdempotent+"x", "x", nil); got.status != http.StatusUnauthorized {
		t.Errorf("revoked key: got %+v", got)
	}
	for _, h := range s.PlainWorkers[0].ReceivedHeaders() {
		if want := map[string]string{"s1": "south", "n2": "north"}[h.Get("Attempt-Id")]; h.Get("Tenant") != want {
			t.Errorf("attempt %s carries account %q", h.Get("Attempt-Id"), h.Get("Tenant"))
		}
	}
}

// The store refuses one gateway but serves the operator and the other gateway, and a key
// is revoked. The gateway must get the change from its peer; relying on the store alone,
// it would accept the key for as long as the store refuses it.
func TestPartitionedGatewayGetsConfigFromPeer(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 1, EventDelay: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}, "south": {southKey}})
	partitioned, connected := newGateway(t, s, "front-1"), newGateway(t, s, "front-2")
	requireComplete(t, partitioned.doWithKey(southKey, http.MethodPost, site.PathNonIdempotent+"x", "s1", nil), fleet.ResponseBody("s1"))
	eventually(t, "the gateways have discovered each other", func() bool { return len(connected.log("fronts met", `"there":2`)) > 0 })
	s.SetStoreBlocked("front-1", true)
	changed := time.Now()
	s.SetAccounts(map[string][]string{"north": {northKey}, "south": {"south-secret-4"}})
	eventually(t, "the key is rejected", func() bool {
		return partitioned.doWithKey(southKey, http.MethodPost, site.PathNonIdempotent+"x", "x", nil).status == http.StatusUnauthorized
	})
	if took := time.Since(changed); took > 3*time.Second {
		t.Errorf("the change took effect after %v", took)
	}
	requireComplete(t, partitioned.doWithKey("south-secret-4", http.MethodPost, site.PathNonIdempotent+"x", "s2", nil), fleet.ResponseBody("s2"))
	if len(partitioned.log("config from another front")) != 1 {
		t.Errorf("the log does not name the source of the config: %v", partitioned.log("config"))
	}
	// Once the store serves it again, it uses the newest config and never an older one.
	s.SetAccounts(map[string][]string{"north": {northKey}})
	s.SetStoreBlocked("front-1", false)
	eventually(t, "the next change takes effect", func() bool {
		return partitioned.doWithKey("south-secret-4", http.MethodPost, site.PathNonIdempotent+"x", "x", nil).status == http.StatusUnauthorized
	})
	if len(partitioned.log("older config")) != 0 || len(partitioned.log("secret")) != 0 {
		t.Error("the log mentions an older config or contains a key")
	}
}

// With strict revocation, a gateway that the store refuses must deny all keys once neither
// the store nor a peer confirms its config, and accept them again as soon as the store
// serves it. A gateway with a peer that can read the store keeps serving.
func TestStaleGatewayFailsClosed(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 1, EventDelay: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}})
	s.FailClosed = true
	p := newGateway(t, s, "front-1")
	s.SetStoreBlocked("front-1", true)
	eventually(t, "every key is denied", func() bool {
		return p.doWithKey(northKey, http.MethodPost, site.PathNonIdempotent+"x", "x", nil).status == http.StatusServiceUnavailable
	})
	eventually(t, "the log states the reason", func() bool { return len(p.log("keys_stale")) > 0 })
	s.SetStoreBlocked("front-1", false)
	eventually(t, "the client is served again", func() bool {
		return p.doWithKey(northKey, http.MethodPost, site.PathNonIdempotent+"x", "x", nil).status == http.StatusOK
	})
}
