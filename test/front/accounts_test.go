package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// Keys of the test's accounts.
const (
	northKey = "north-secret-1"
	southKey = "south-secret-2"
)

// doWithKey sends one request with a key.
func (p *process) doWithKey(key, method, path, id string, header map[string]string) response {
	headers := map[string]string{"Key": key}
	for name, value := range header {
		headers[name] = value
	}
	return p.do(context.Background(), method, path, id, headers)
}

// Clients of two accounts send requests of each kind, some under another account's
// name. Workers must be told the right account in each sending and never see a key,
// and no line of the log may tell one: whoever reads it could act for that account.
func TestWorkersReceiveAccountButNoKey(t *testing.T) {
	s := newSite(t, site.Config{Prefill: 1, Decode: 1, Plain: 2, Events: 4, Pause: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}, "south": {southKey}})
	p := newGateway(t, s, "front-1")
	spoofed := map[string]string{"tenant": "south", "Connection": "close, Tenant, Key"}
	requireComplete(t, p.doWithKey(northKey, http.MethodPost, site.PathPost+"x", "n1", spoofed), fleet.Body("n1"))
	requireComplete(t, p.doWithKey(northKey, http.MethodGet, site.PathLook+"x", "n2", spoofed), fleet.Body("n2"))
	requireComplete(t, p.doWithKey(northKey, http.MethodPost, site.PathLong+"x", "n3", longPromptHeaders("n3")), streamBody("n3", 4))
	requireComplete(t, p.doWithKey(southKey, http.MethodPost, site.PathPost+"x", "s1", nil), fleet.Body("s1"))
	if got := p.doWithKey("none-secret-3", http.MethodPost, site.PathPost+"x", "x1", nil); got.status != http.StatusUnauthorized {
		t.Errorf("an unknown key: %+v", got)
	}
	if got := p.post("x2"); got.status != http.StatusUnauthorized {
		t.Errorf("no key: %+v", got)
	}
	attempts := 0
	for _, w := range append(s.Engines, s.Plain...) {
		for _, h := range w.Received() {
			attempts++
			account := map[byte]string{'n': "north", 's': "south"}[h.Get("Attempt-Id")[0]]
			if account == "" || h.Get("Tenant") != account || len(h.Values("Tenant")) != 1 {
				t.Errorf("%s was sent for %q", h.Get("Attempt-Id"), h.Values("Tenant"))
			}
			for name, values := range h {
				if name == "Key" || strings.Contains(strings.Join(values, " "), "secret") {
					t.Errorf("%s: a worker got %s", h.Get("Attempt-Id"), name)
				}
			}
		}
	}
	if attempts != 5 {
		t.Errorf("%d sendings", attempts)
	}
	if lines := p.log("secret"); len(lines) != 0 {
		t.Errorf("the log tells a key: %s", lines[0])
	}
	p.kill()
	_, portText, err := net.SplitHostPort(p.readyAddr)
	if err != nil {
		t.Fatal(err)
	}
	n, err := strconv.Atoi(portText)
	if err != nil {
		t.Fatal(err)
	}
	p.flags = []string{"--log-level", "debug", "--metrics-listen", net.JoinHostPort("127.0.0.1", strconv.Itoa(n+30_000))}
	p.start()
	p.waitReady()
	requireComplete(t, p.doWithKey(northKey, http.MethodPost, site.PathPost+"x", "n5", nil), fleet.Body("n5"))
	p.doWithKey("none-secret-3", http.MethodPost, site.PathPost+"x", "x3", nil)
	response, err := http.Get("http://" + p.flags[3] + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	metrics, err := io.ReadAll(response.Body)
	if err != nil || !strings.Contains(string(metrics), "kumquatlug_gateway_denied_total") || strings.Contains(string(metrics), "secret") {
		t.Errorf("metrics of %d bytes, %v", len(metrics), err)
	}
	if lines := p.log("secret"); len(lines) != 0 {
		t.Errorf("the log tells a key: %s", lines[0])
	}
}

// A key is taken away, another goes to another account, and an account loses its last
// one. A front that went on by the old version would serve a client that has no right
// to it, for as long as it runs.
func TestRevokedKeysAreRejected(t *testing.T) {
	s := newSite(t, site.Config{Plain: 1, Pause: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey, "north-secret-9"}, "south": {southKey}})
	p := newGateway(t, s, "front-1")
	requireComplete(t, p.doWithKey(southKey, http.MethodPost, site.PathPost+"x", "s1", nil), fleet.Body("s1"))
	s.SetAccounts(map[string][]string{"north": {northKey, southKey}, "south": {}})
	eventually(t, "the change is in force", func() bool { return len(p.log("config in force")) == 2 })
	requireComplete(t, p.doWithKey(southKey, http.MethodPost, site.PathPost+"x", "n2", nil), fleet.Body("n2"))
	if got := p.doWithKey("north-secret-9", http.MethodPost, site.PathPost+"x", "x", nil); got.status != http.StatusUnauthorized {
		t.Errorf("a key that was taken away: %+v", got)
	}
	for _, h := range s.Plain[0].Received() {
		if want := map[string]string{"s1": "south", "n2": "north"}[h.Get("Attempt-Id")]; h.Get("Tenant") != want {
			t.Errorf("%s was sent for %q", h.Get("Attempt-Id"), h.Get("Tenant"))
		}
	}
}

// The store turns one front away while it serves the operator and the other front, and a
// key is taken away. The front must hear of it from the other one: by the store alone
// it would serve the client for as long as it is turned away.
func TestGatewayCutOffFromStoreGetsConfigFromPeer(t *testing.T) {
	s := newSite(t, site.Config{Plain: 1, Pause: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}, "south": {southKey}})
	isolated, connected := newGateway(t, s, "front-1"), newGateway(t, s, "front-2")
	requireComplete(t, isolated.doWithKey(southKey, http.MethodPost, site.PathPost+"x", "s1", nil), fleet.Body("s1"))
	eventually(t, "the fronts have met", func() bool { return len(connected.log("fronts met", `"there":2`)) > 0 })
	s.TurnAway("front-1", true)
	changed := time.Now()
	s.SetAccounts(map[string][]string{"north": {northKey}, "south": {"south-secret-4"}})
	eventually(t, "the key serves nobody", func() bool {
		return isolated.doWithKey(southKey, http.MethodPost, site.PathPost+"x", "x", nil).status == http.StatusUnauthorized
	})
	if took := time.Since(changed); took > 3*time.Second {
		t.Errorf("the change was in force after %v", took)
	}
	requireComplete(t, isolated.doWithKey("south-secret-4", http.MethodPost, site.PathPost+"x", "s2", nil), fleet.Body("s2"))
	if len(isolated.log("config from another front")) != 1 {
		t.Errorf("the log does not tell where the config came from: %v", isolated.log("config"))
	}
	// Back at the store it goes on by the newest, and never by an older one.
	s.SetAccounts(map[string][]string{"north": {northKey}})
	s.TurnAway("front-1", false)
	eventually(t, "the next change is in force", func() bool {
		return isolated.doWithKey("south-secret-4", http.MethodPost, site.PathPost+"x", "x", nil).status == http.StatusUnauthorized
	})
	if len(isolated.log("older config")) != 0 || len(isolated.log("secret")) != 0 {
		t.Error("an older config came up, or a key in the log")
	}
}

// Keys must not outlast their taking away here. A front that the store turns away serves
// nobody by a key once nobody confirms what it knows, and is back at once with the store;
// beside a front that can read the store it serves on.
func TestStaleGatewayFailsClosed(t *testing.T) {
	s := newSite(t, site.Config{Plain: 1, Pause: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}})
	s.FailClosed = true
	p := newGateway(t, s, "front-1")
	s.TurnAway("front-1", true)
	eventually(t, "nobody is served by a key", func() bool {
		return p.doWithKey(northKey, http.MethodPost, site.PathPost+"x", "x", nil).status == http.StatusServiceUnavailable
	})
	eventually(t, "the log tells why", func() bool { return len(p.log("keys_stale")) > 0 })
	s.TurnAway("front-1", false)
	eventually(t, "its client is served again", func() bool {
		return p.doWithKey(northKey, http.MethodPost, site.PathPost+"x", "x", nil).status == http.StatusOK
	})
}
