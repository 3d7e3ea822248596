package peer

import (
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1/peerv1connect"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Figures for connections between processes.
const (
	// dialTimeout bounds connecting: peers are a few milliseconds apart, and a
	// target that does not answer in a second is tried elsewhere.
	dialTimeout = kumquatlug.Second
	// maxIdleConnsPerPeer a peer: an entry has several hundred calls at a busy
	// target in hand, and each keeps its connection while it streams.
	maxIdleConnsPerPeer = 256
	// idleTimeout is after how long an unused connection is closed.
	idleTimeout = 90 * kumquatlug.Second
)

// Dialer makes clients to peers. One Dialer is shared by a process, so that
// its connections are too. It is safe for concurrent use.
type Dialer struct {
	keys          *Keys
	workClient    *http.Client
	agentClient   *http.Client
	gatewayClient *http.Client
}

// NewDialer returns a dialer that shows keys; nil keys mean plain connections.
func NewDialer(keys *Keys) *Dialer {
	return &Dialer{
		keys: keys, workClient: newClient(keys, RoleAgent, false),
		agentClient: newClient(keys, RoleAgent, true), gatewayClient: newClient(keys, RoleEntry, true),
	}
}

// newClient returns a client without a time limit of its own: answers stream
// for minutes, and each call brings its deadline. Control messages go over
// HTTP/2, which takes half of the bytes of HTTP/1.1 for a heartbeat; work goes
// over HTTP/1.1, where one slow stream holds up no other (docs/CAPACITY.md).
func newClient(keys *Keys, role Role, control bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialContext(dialTimeout.Duration()),
		TLSClientConfig:     keys.Client(role),
		TLSHandshakeTimeout: dialTimeout.Duration(),
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleTimeout.Duration(),
		DisableCompression:  true,
		ForceAttemptHTTP2:   control && keys != nil,
	}}
}

func (d *Dialer) url(address string) string {
	return d.keys.Scheme() + "://" + address
}

// Agent returns a client of the agent at address.
func (d *Dialer) Agent(address string) peerv1connect.AgentServiceClient {
	return peerv1connect.NewAgentServiceClient(d.agentClient, d.url(address))
}

// Entry returns a client of the entry at address.
func (d *Dialer) Entry(address string) peerv1connect.EntryServiceClient {
	return peerv1connect.NewEntryServiceClient(d.gatewayClient, d.url(address))
}

// Peer returns a client of any process of ours at address.
func (d *Dialer) Peer(role Role, address string) peerv1connect.PeerServiceClient {
	if role == RoleEntry {
		return peerv1connect.NewPeerServiceClient(d.gatewayClient, d.url(address))
	}
	return peerv1connect.NewPeerServiceClient(d.agentClient, d.url(address))
}

// WorkURL returns where the agent at address takes work with path.
func (d *Dialer) WorkURL(address, path string) string {
	return d.url(address) + WorkPath + path
}

// Work returns the HTTP client that carries work to agents.
func (d *Dialer) Work() *http.Client { return d.workClient }

// Close closes the connections that are not in use.
func (d *Dialer) Close() {
	for _, c := range []*http.Client{d.workClient, d.agentClient, d.gatewayClient} {
		c.CloseIdleConnections()
	}
}

// minCompressBytes is the least size of an answer that is compressed, in bytes: at
// 200 bytes, the size of a report, gzip makes it longer and takes half of the
// processor time of the exchange (docs/CAPACITY.md).
const minCompressBytes = 1024

// HandlerOptions are the options of every connect handler of ours.
func HandlerOptions() connect.HandlerOption {
	return connect.WithCompressMinBytes(minCompressBytes)
}

// ServerTimeouts sets on s the limits that keep a slow or silent client from
// holding a connection: headers within five seconds, which a client a few
// milliseconds away meets a thousand times over.
func ServerTimeouts(s *http.Server) *http.Server {
	s.ReadHeaderTimeout = 5 * time.Second
	s.IdleTimeout = idleTimeout.Duration()
	s.MaxHeaderBytes = 64 << 10
	return s
}

// serve runs s on l, with TLS when s has TLS settings.
func serve(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}
