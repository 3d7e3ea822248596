package peer

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/oklog/run"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func TestWorkHeadersRoundTrip(t *testing.T) {
	want := NewWork(WorkConfig{
		Request: "r1", Attempt: 2, Kind: kumquatlug.NewKind(kumquatlug.ProtocolService, "gazette"), Caller: "desk",
		Revision: 7, Timeout: 1500, RunOnce: true, Key: "k", Dispatch: "1.3", Fingerprint: "f", Logical: 9, SenderAddress: "10.0.0.1:7",
	})
	h := http.Header{}
	want.Write(h)
	got, err := ReadWork(h)
	if err != nil || got != want {
		t.Fatalf("got %+v, %v", got, err)
	}
	h.Set(HeaderRevision, "seven")
	if _, err := ReadWork(h); err == nil {
		t.Fatal("a revision that is not a number was accepted")
	}
}

func TestCopyHeadersDropsCredentialsAndInternalHeaders(t *testing.T) {
	from := http.Header{
		"Authorization": {"Bearer s"}, "Connection": {"close"}, HeaderExecution: {"done"}, "Content-Type": {"text/plain"},
	}
	to := http.Header{}
	CopyHeaders(to, from)
	if len(to) != 1 || to.Get("Content-Type") != "text/plain" {
		t.Fatalf("copied %v", to)
	}
}

// Every target VM stores an agent's key. With a stolen key it must not be possible to
// send orders to other agents, which only gateways may do.
func TestRequireRoleRejectsOtherRoles(t *testing.T) {
	authority, err := NewAuthority(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	agentKeys, gatewayKeys := issueKeys(t, authority, RoleAgent), issueKeys(t, authority, RoleGateway)
	otherAuthority, err := NewAuthority(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(agentKeys.RequireRole(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), RoleGateway))
	server.TLS = agentKeys.Server()
	server.StartTLS()
	defer server.Close()
	address := server.Listener.Addr().String()

	statusWith := func(keys *Keys) int {
		d := NewDialer(keys)
		defer d.Close()
		response, err := d.WorkClient().Get(d.WorkURL(address, "/"))
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	if got := statusWith(gatewayKeys); got != http.StatusOK {
		t.Errorf("status of a gateway: %d, want 200", got)
	}
	if got := statusWith(agentKeys); got != http.StatusForbidden {
		t.Errorf("status of an agent: %d, want 403", got)
	}
	if got := statusWith(issueKeys(t, otherAuthority, RoleGateway)); got != 0 {
		t.Errorf("status of a peer with a certificate of another authority: %d, want a failed handshake", got)
	}
}

func issueKeys(t *testing.T, a *Authority, role Role) *Keys {
	t.Helper()
	certificate, key, err := a.Issue(role)
	if err != nil {
		t.Fatal(err)
	}
	keys, err := LoadKeys(KeysConfig{Certificate: string(certificate), Key: string(key), Authority: string(a.PEM())})
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// The handler of the last request has returned, which lets a planned stop proceed, while
// net/http has not sent the end of its response. If the server closed its connections at
// once, the caller would get a cut response.
func TestStopSendsBufferedResponses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("answer"))
		close(served)
		// net/http sends the response some time after the work has ended.
		time.Sleep(50 * time.Millisecond)
	})
	var group run.Group
	AddServer(&group, "serve", &http.Server{Handler: handler}, listener)
	group.Add(func() error { <-served; return nil }, func(error) {})
	stopped := make(chan struct{})
	go func() { defer close(stopped); _ = group.Run() }()
	response, err := http.Get("http://" + listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "answer" {
		t.Errorf("%q, %v", body, err)
	}
	<-stopped
}

// A server closes an idle connection at the moment at which a client sends work on it. The
// work may have run, so it costs a retry, or a call that must not be repeated its outcome.
// Clients must give up idle connections well before servers do.
func TestClientsCloseIdleConnectionsFirst(t *testing.T) {
	server := ServerTimeouts(&http.Server{})
	d := NewDialer(nil)
	for _, client := range []*http.Client{d.workClient, d.agentClient, d.gatewayClient} {
		if idle := client.Transport.(*http.Transport).IdleConnTimeout; idle+5*time.Second > server.IdleTimeout {
			t.Errorf("a client keeps idle connections for %s, servers for %s", idle, server.IdleTimeout)
		}
	}
}
