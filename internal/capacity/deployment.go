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

// zone is the data centre of all measured nodes.
const zone = "region-2-b"

// ringSize is the number of timeline events that a measured process keeps.
const ringSize = 4096

// deployment is a small deployment in this process: the platform's store in memory, the
// keys of its processes and the processes added to it. The function that start returns
// stops everything.
type deployment struct {
	store       *platform.Memory
	authority   *peer.Authority
	gatewayKeys *peer.Keys
	agentKeys   *peer.Keys
	ctx         context.Context
	cancel      context.CancelFunc
	group       run.Group
}

func newDeployment(ctx context.Context) (*deployment, error) {
	authority, err := peer.NewAuthority(time.Hour)
	if err != nil {
		return nil, err
	}
	s := &deployment{store: platform.NewMemory(), authority: authority}
	if s.gatewayKeys, err = newPeerKeys(authority, peer.RoleGateway); err != nil {
		return nil, err
	}
	if s.agentKeys, err = newPeerKeys(authority, peer.RoleAgent); err != nil {
		return nil, err
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s, nil
}

func newPeerKeys(a *peer.Authority, role peer.Role) (*peer.Keys, error) {
	certificate, key, err := a.Issue(role)
	if err != nil {
		return nil, err
	}
	return peer.LoadKeys(peer.KeysConfig{Certificate: string(certificate), Key: string(key), Authority: string(a.PEM())})
}

// newPublicKeys returns the keys of the callers' API and a certificate pool that
// trusts them.
func (s *deployment) newPublicKeys() (*peer.PublicKeys, *x509.CertPool, error) {
	certificate, key, err := s.authority.Issue(peer.RoleGateway)
	if err != nil {
		return nil, nil, err
	}
	keys, err := peer.LoadPublicKeys(string(certificate), string(key))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(s.authority.PEM())
	return keys, pool, err
}

// start runs everything added so far. The returned function stops it and waits until
// it has ended.
func (s *deployment) start() (stop func()) {
	peer.AddTask(s.ctx, &s.group, func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.group.Run()
	}()
	return func() {
		s.cancel()
		<-done
	}
}

// listen opens a loopback listener whose traffic is counted in t.
func (s *deployment) listen(t *connectionTraffic, tls bool) (*countingListener, error) {
	var c net.ListenConfig
	l, err := c.Listen(s.ctx, "tcp", "127.0.0.1:0")
	return &countingListener{Listener: l, traffic: t, tls: tls}, errors.Wrap(err, "listen")
}

// addServer adds an HTTP server without TLS and returns its URL.
func (s *deployment) addServer(handler http.Handler) (string, error) {
	l, err := s.listen(&connectionTraffic{}, false)
	if err != nil {
		return "", err
	}
	s.addServerOn(l, handler)
	return "http://" + l.Addr().String(), nil
}

// addServerOn adds an HTTP server without TLS on l.
func (s *deployment) addServerOn(l net.Listener, handler http.Handler) {
	peer.AddServer(&s.group, "serve stand-in", &http.Server{Handler: handler}, l)
}

// constantEngine responds to an agent's polls like a busy engine, always with the same
// values, so that reports have the same size in each run.
func constantEngine() http.Handler {
	mux := http.NewServeMux()
	respond := func(pattern, body string) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(body)) })
	}
	respond("GET /health", "")
	respond("GET /load", `{"running":41,"waiting":3,"kv_used_tokens":131072,"kv_total_tokens":200000,`+
		`"prefill_tokens_per_second":7312.5,"decode_tokens_per_second":1210.25,"age_ms":180}`)
	respond("GET /state", `{"state":"settled","role":"decode"}`)
	respond("GET /cache/events", `{"events":[]}`)
	return mux
}

// addAgent adds the agent of the engine at url and returns the agent's address.
func (s *deployment) addAgent(name, url string, t *connectionTraffic) (string, error) {
	l, err := s.listen(t, true)
	if err != nil {
		return "", err
	}
	target := engine.New(service.Config{URL: url})
	a, err := agent.New(agent.Config{
		Name: name, Zone: zone, Listener: l, Keys: s.agentKeys, Target: target, Engine: target,
		Table: s.store, Objects: s.store, VMs: s.store, Clock: clock.NewMonotonic(), Logger: zap.NewNop(),
		Registry: prometheus.NewRegistry(), Ring: timeline.NewRing(name, ringSize),
	})
	if err != nil {
		return "", err
	}
	peer.AddTask(s.ctx, &s.group, a.Run)
	address := l.Addr().String()
	s.store.SetVM(kumquatlug.NewVM(kumquatlug.VMConfig{
		Name: name, Role: kumquatlug.VMTarget, Address: address, Zone: zone, State: kumquatlug.VMLive,
	}))
	return address, nil
}
