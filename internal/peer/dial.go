package peer

import (
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1/peerv1connect"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Timeouts and limits of connections between processes.
const (
	// dialTimeout bounds the connection setup. Peers are a few milliseconds apart; a
	// target that doesn't respond within a second is retried elsewhere.
	dialTimeout = kumquatlug.Second
	// maxIdleConnsPerPeer allows for several hundred calls of a gateway in flight
	// at a busy target, each with a connection of its own while it streams.
	maxIdleConnsPerPeer = 256
	// idleTimeout is the time after which a client closes an unused connection, and
	// serverIdleTimeout that of a server. A request that is sent while the server closes
	// the connection is lost, so clients close theirs well before.
	idleTimeout       = 90 * kumquatlug.Second
	serverIdleTimeout = 2 * kumquatlug.Minute
)

// Dialer creates clients of peers. A process shares one Dialer and thereby its
// connections. It is safe for concurrent use.
type Dialer struct {
	keys          *Keys
	workClient    *http.Client
	agentClient   *http.Client
	gatewayClient *http.Client
}

// NewDialer returns a dialer that authenticates with keys; nil means plain
// connections.
func NewDialer(keys *Keys) *Dialer {
	return &Dialer{
		keys: keys, workClient: newClient(keys, RoleAgent, false),
		agentClient: newClient(keys, RoleAgent, true), gatewayClient: newClient(keys, RoleGateway, true),
	}
}

// newClient returns a client without a timeout, since responses stream for minutes
// and each call sets its own deadline. Control messages use HTTP/2, which needs half
// of the bytes of HTTP/1.1 for a heartbeat. Work uses HTTP/1.1, where a slow stream
// doesn't block others (docs/CAPACITY.md).
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

// Gateway returns a client of the gateway at address.
func (d *Dialer) Gateway(address string) peerv1connect.EntryServiceClient {
	return peerv1connect.NewEntryServiceClient(d.gatewayClient, d.url(address))
}

// Peer returns a client of the process with role at address.
func (d *Dialer) Peer(role Role, address string) peerv1connect.PeerServiceClient {
	if role == RoleGateway {
		return peerv1connect.NewPeerServiceClient(d.gatewayClient, d.url(address))
	}
	return peerv1connect.NewPeerServiceClient(d.agentClient, d.url(address))
}

// WorkURL returns the URL at which the agent at address accepts work for path.
func (d *Dialer) WorkURL(address, path string) string {
	return d.url(address) + WorkPath + path
}

// WorkClient returns the HTTP client for work sent to agents.
func (d *Dialer) WorkClient() *http.Client { return d.workClient }

// Close closes idle connections.
func (d *Dialer) Close() {
	for _, c := range []*http.Client{d.workClient, d.agentClient, d.gatewayClient} {
		c.CloseIdleConnections()
	}
}

// minCompressBytes is the minimum size of a compressed response. At 200 bytes, the
// size of a report, gzip makes the response longer and takes half of the processor
// time of the exchange (docs/CAPACITY.md).
const minCompressBytes = 1024

// HandlerOptions returns the options that all connect handlers share.
func HandlerOptions() connect.HandlerOption {
	return connect.WithCompressMinBytes(minCompressBytes)
}

// ServerTimeouts sets limits on s that keep a slow or unresponsive client from holding a
// connection. A client a few milliseconds away sends its headers a thousand times
// faster than the five seconds allowed.
func ServerTimeouts(s *http.Server) *http.Server {
	s.ReadHeaderTimeout = 5 * time.Second
	s.IdleTimeout = serverIdleTimeout.Duration()
	s.MaxHeaderBytes = 64 << 10
	return s
}

// serve runs s on l, with TLS if s has a TLS config.
func serve(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}
