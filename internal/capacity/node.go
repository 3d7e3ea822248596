package capacity

import (
	"context"
	"crypto/x509"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/agent"
	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/service"
	"github.com/kumquatlug/kumquatlug/internal/standin/platform"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// zone is the data centre of every node that is measured.
const zone = "region-2-b"

// ringEvents is how many events a measured process keeps.
const ringEvents = 4096

// site is a small deployment in this process: the platform in memory and the
// keys of its processes. Everything that it starts ends with close.
type site struct {
	platform  *platform.Memory
	authority *peer.Authority
	entry     *peer.Keys
	agent     *peer.Keys
	ctx       context.Context
	cancel    context.CancelFunc
	group     run.Group
}

func newSite(ctx context.Context) (*site, error) {
	authority, err := peer.NewAuthority(time.Hour)
	if err != nil {
		return nil, err
	}
	s := &site{platform: platform.NewMemory(), authority: authority}
	if s.entry, err = issue(authority, peer.RoleEntry); err != nil {
		return nil, err
	}
	if s.agent, err = issue(authority, peer.RoleAgent); err != nil {
		return nil, err
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s, nil
}

func issue(a *peer.Authority, role peer.Role) (*peer.Keys, error) {
	certificate, key, err := a.Issue(role)
	if err != nil {
		return nil, err
	}
	return peer.LoadKeys(peer.KeysConfig{Certificate: string(certificate), Key: string(key), Authority: string(a.PEM())})
}

// publicKeys returns the keys that callers see and the pool that trusts them.
func (s *site) publicKeys() (*peer.PublicKeys, *x509.CertPool, error) {
	certificate, key, err := s.authority.Issue(peer.RoleEntry)
	if err != nil {
		return nil, nil, err
	}
	keys, err := peer.LoadPublicKeys(string(certificate), string(key))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(s.authority.PEM())
	return keys, pool, err
}

// start begins to run what was added; the function that it returns stops it all
// and waits for its end.
func (s *site) start() (stop func()) {
	peer.AddDuty(s.ctx, &s.group, func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.group.Run()
	}()
	return func() {
		s.cancel()
		<-ended
	}
}

// listen opens a counted loopback listener.
func (s *site) listen(t *traffic, tls bool) (*tap, error) {
	var c net.ListenConfig
	l, err := c.Listen(s.ctx, "tcp", "127.0.0.1:0")
	return &tap{Listener: l, traffic: t, tls: tls}, errors.Wrap(err, "listen")
}

// serve adds a plain HTTP server and returns its URL.
func (s *site) serve(handler http.Handler) (string, error) {
	l, err := s.listen(&traffic{}, false)
	if err != nil {
		return "", err
	}
	s.serveOn(l, handler)
	return "http://" + l.Addr().String(), nil
}

// serveOn adds a plain HTTP server on l.
func (s *site) serveOn(l net.Listener, handler http.Handler) {
	peer.AddServer(&s.group, "serve stand-in", &http.Server{Handler: handler}, l)
}

// quietEngine answers an agent's looks as a busy engine does, always alike, so
// that reports have the same size in each run.
func quietEngine() http.Handler {
	mux := http.NewServeMux()
	say := func(pattern, body string) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(body)) })
	}
	say("GET /health", "")
	say("GET /load", `{"running":41,"waiting":3,"kv_used_tokens":131072,"kv_total_tokens":200000,`+
		`"prefill_tokens_per_second":7312.5,"decode_tokens_per_second":1210.25,"age_ms":180}`)
	say("GET /state", `{"state":"settled","role":"decode"}`)
	say("GET /cache/events", `{"events":[]}`)
	return mux
}

// addAgent adds the agent of an engine at url and returns where it listens.
func (s *site) addAgent(name, url string, t *traffic) (string, error) {
	l, err := s.listen(t, true)
	if err != nil {
		return "", err
	}
	target := engine.New(service.Config{URL: url})
	a, err := agent.New(agent.Config{
		Name: name, Zone: zone, Listener: l, Keys: s.agent, Target: target, Engine: target,
		Table: s.platform, Objects: s.platform, VMs: s.platform, Clock: clock.NewMonotonic(), Logger: zap.NewNop(),
		Registry: prometheus.NewRegistry(), Ring: timeline.NewRing(name, ringEvents),
	})
	if err != nil {
		return "", err
	}
	peer.AddDuty(s.ctx, &s.group, a.Run)
	address := l.Addr().String()
	s.platform.SetVM(kumquatlug.NewVM(kumquatlug.VMConfig{
		Name: name, Role: kumquatlug.VMTarget, Address: address, Zone: zone, State: kumquatlug.VMLive,
	}))
	return address, nil
}
