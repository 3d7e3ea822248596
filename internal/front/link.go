// Package front exchanges datagrams with the other gateways that share engines: messages
// about permits to send a prompt to an engine, and the state and text of the config.
//
// It uses datagrams since a late message is worthless: the sender that waits for a response
// sends a lost message again, which costs less than a stream that stalls on a lost packet.
// Besides, no connections have to be kept to hundreds of peers.
//
// Each gateway creates a key at its start and publishes it in its row of the platform's
// store, which clients can't read. Datagrams to a gateway are encrypted with that key, so
// that no other party can forge or read them; those that can't be decrypted are dropped and
// counted. A gateway adds a hello with its address and key to each datagram until the
// receiver has responded, since the receiver may not have it yet.
package front

import (
	"context"
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Limits of datagrams, in bytes.
const (
	// keyBytes is the length of a gateway's key.
	keyBytes = 16
	// maxDatagramBytes is the length of the longest datagram accepted; a message about a
	// prompt has about 150 bytes.
	maxDatagramBytes = 1400
	// maxNameBytes limits gateway names in datagrams.
	maxNameBytes = 200
	// maxSkippedLines bounds the log lines about the invalid rows of one read.
	maxSkippedLines = 20
)

// Config configures a [Link].
type Config struct {
	// Name is the name of this gateway, Incarnation is unique to this start of it.
	Name, Incarnation string
	// Zone is the data centre of this gateway, LinkBytesPerMs the rate of its link, zero if
	// unknown, and HandoffAddress IP:port of its listener for handed-off requests, empty for
	// none.
	Zone           string
	LinkBytesPerMs float64
	HandoffAddress string
	// Conn receives and sends datagrams; its local address is published to the peers.
	Conn     net.PacketConn
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

// Link sends messages to the other gateways and receives theirs. It is safe for concurrent
// use.
type Link struct {
	config    Config
	key       []byte
	aead      cipher.AEAD
	datagrams *prometheus.CounterVec
	mu        sync.Mutex
	peers     map[string]*peer
	// skipped are the names of the invalid rows of the last read, which are logged once.
	skipped map[string]bool
	// handler handles received messages, nil before [Link.Receive].
	handler atomic.Pointer[kumquatlug.GatewayHandler]
}

var _ kumquatlug.GatewayLink = (*Link)(nil)

// peer is another gateway.
type peer struct {
	address *net.UDPAddr
	key     []byte
	aead    cipher.AEAD
	// hasOurKey says that the peer has sent a datagram that was encrypted with this
	// gateway's key.
	hasOurKey bool
	// handoff describes the gateway as its row does; a hello does not contain it.
	handoff kumquatlug.HandoffPeer
}

// peerRow is the JSON form of a gateway's row in the store.
type peerRow struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Key         []byte `json:"key"`
	// Zone, LinkBytesPerMs and Handoff are absent in the rows of an older release.
	Zone           string  `json:"zone,omitempty"`
	LinkBytesPerMs float64 `json:"link_bytes_per_ms,omitempty"`
	Handoff        string  `json:"handoff,omitempty"`
}

// New returns a link without peers.
func New(c Config) (*Link, error) {
	key := make([]byte, keyBytes)
	if _, err := rand.Read(key); err != nil {
		return nil, errors.Wrap(err, "create this gateway's key")
	}
	aead, err := newAEAD(key)
	if err != nil {
		return nil, err
	}
	l := &Link{
		config: c, key: key, aead: aead, peers: map[string]*peer{},
		datagrams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_front_datagrams_total", Help: "Datagrams between fronts by what became of them.",
		}, []string{"outcome"}),
	}
	return l, errors.Wrap(c.Registry.Register(l.datagrams), "register datagram metrics")
}

func newAEAD(key []byte) (cipher.AEAD, error) {
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Wrap(err, "create a cipher from a gateway's key")
	}
	aead, err := cipher.NewGCMWithRandomNonce(block)
	return aead, errors.Wrap(err, "create a cipher from a gateway's key")
}

// Row implements [kumquatlug.GatewayLink].
func (l *Link) Row() []byte {
	data, err := json.Marshal(peerRow{
		Incarnation: l.config.Incarnation, Address: l.config.Conn.LocalAddr().String(), Key: l.key,
		Zone: l.config.Zone, LinkBytesPerMs: l.config.LinkBytesPerMs, Handoff: l.config.HandoffAddress,
	})
	if err != nil {
		// Strings and bytes can always be encoded.
		l.config.Logger.Error("row of this gateway not encoded", logs.Error(err))
	}
	return data
}

// UpdatePeers implements [kumquatlug.GatewayLink]. Invalid rows are skipped, as are those of a
// release that does not exchange datagrams.
func (l *Link) UpdatePeers(rows map[string][]byte) (reachable, restarted []string) {
	reachable = []string{l.config.Name}
	l.mu.Lock()
	defer l.mu.Unlock()
	skipped, logged := map[string]bool{}, 0
	defer func() { l.skipped = skipped }()
	for name, data := range rows {
		if name == l.config.Name {
			continue
		}
		var r peerRow
		changed := false
		err := json.Unmarshal(data, &r)
		if err == nil {
			changed, err = l.updatePeer(name, r.Address, r.Key)
		}
		if err == nil {
			l.peers[name].handoff = r.handoffPeer(name)
		}
		if err != nil {
			skipped[name] = true
			if !l.skipped[name] && logged < maxSkippedLines {
				logged++
				l.config.Logger.Warn("invalid row of a gateway skipped", zap.String("front", name), logs.Error(err))
			}
			continue
		}
		reachable = append(reachable, name)
		if changed {
			restarted = append(restarted, name)
		}
	}
	return reachable, restarted
}

// updatePeer records the address and the key of a gateway and reports whether they are new;
// the lock must be held.
func (l *Link) updatePeer(name, address string, key []byte) (bool, error) {
	// A name would be looked up with the lock held.
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return false, errors.Wrap(err, "decode the address of a gateway")
	}
	if !parsed.Addr().Is4() || parsed.Addr().IsUnspecified() || parsed.Port() == 0 || name == "" || len(name) > maxNameBytes {
		return false, errors.Newf("gateway %.200q has an invalid name or address %q", name, address)
	}
	resolved := net.UDPAddrFromAddrPort(parsed)
	current, known := l.peers[name]
	if known && current.matches(resolved, key) {
		return false, nil
	}
	aead, err := newAEAD(key)
	if err != nil {
		return false, err
	}
	l.peers[name] = &peer{address: resolved, key: key, aead: aead}
	if known && current.address.IP.Equal(resolved.IP) {
		// A restarted gateway keeps its settings; its row tells if they changed.
		l.peers[name].handoff = current.handoff
	}
	return true, nil
}

// matches reports whether a peer has this address and key.
func (p *peer) matches(address *net.UDPAddr, key []byte) bool {
	return p.address.IP.Equal(address.IP) && p.address.Port == address.Port && string(p.key) == string(key)
}

// Send implements [kumquatlug.GatewayLink].
func (l *Link) Send(m kumquatlug.PermitMessage) {
	l.sendTo(m.Gateway, &frontv1.Datagram{Turn: encodePermit(m.Permit)})
}

// sendTo sends a datagram to the gateway with this name.
func (l *Link) sendTo(name string, d *frontv1.Datagram) {
	l.mu.Lock()
	receiver, known := l.peers[name]
	l.mu.Unlock()
	if !known {
		l.datagrams.WithLabelValues("unknown_receiver").Inc()
		return
	}
	l.send(name, receiver, d)
}

// send encrypts a datagram and sends it.
func (l *Link) send(name string, receiver *peer, d *frontv1.Datagram) {
	d.From = l.config.Name
	if h := l.handler.Load(); h != nil {
		// The state of the tables is read first: a config that comes into force meanwhile
		// must not be attributed to an older state.
		d.Tables = encodeTableStates((*h).TableStates())
		d.Config = encodeConfigState((*h).ConfigState())
		d.Load = encodeLoad((*h).GatewayLoad())
	}
	l.mu.Lock()
	if !receiver.hasOurKey {
		d.Hello = &frontv1.Hello{Address: l.config.Conn.LocalAddr().String(), Key: l.key}
	}
	l.mu.Unlock()
	l.attachSpeeds(d)
	data, err := proto.Marshal(d)
	if err == nil {
		_, err = l.config.Conn.WriteTo(receiver.aead.Seal(nil, nil, data, nil), receiver.address)
	}
	if err != nil {
		// The caller that waits for a response sends the message again.
		l.datagrams.WithLabelValues("not_sent").Inc()
		l.config.Logger.Debug("datagram not sent", zap.String("front", name), logs.Error(err))
		return
	}
	l.datagrams.WithLabelValues("sent").Inc()
}

// AnnounceStop implements [kumquatlug.GatewayLink].
func (l *Link) AnnounceStop() {
	l.mu.Lock()
	peers := make(map[string]*peer, len(l.peers))
	for name, p := range l.peers {
		if p.hasOurKey {
			peers[name] = p
		}
	}
	l.mu.Unlock()
	for name, p := range peers {
		l.send(name, p, &frontv1.Datagram{Leaving: true})
	}
}

// Receive implements [kumquatlug.GatewayLink].
func (l *Link) Receive(ctx context.Context, h kumquatlug.GatewayHandler) error {
	l.handler.Store(&h)
	stop := context.AfterFunc(ctx, func() { _ = l.config.Conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := l.config.Conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "receive datagrams")
		}
		if err != nil {
			// An earlier datagram to an unreachable receiver makes the next read fail.
			l.config.Logger.Debug("datagram not received", logs.Error(err))
			continue
		}
		l.handleDatagram(buffer[:n], from, h)
	}
}

// handleDatagram decrypts a datagram and passes its contents to the handler. Only gateways
// that have read this gateway's row, or received its key in a hello, can encrypt one.
func (l *Link) handleDatagram(sealed []byte, source net.Addr, h kumquatlug.GatewayHandler) {
	d, err := l.decrypt(sealed)
	if err == nil {
		err = l.authenticate(d, source, h)
	}
	if err != nil {
		l.datagrams.WithLabelValues("refused").Inc()
		l.config.Logger.Debug("datagram refused", zap.Stringer("from", source), logs.Error(err))
		return
	}
	l.datagrams.WithLabelValues("received").Inc()
	if d.GetLeaving() {
		h.PeerLeft(d.GetFrom())
	}
	if d.GetConfig() != nil {
		h.ConfigStateReceived(d.GetFrom(), decodeConfigState(d.GetConfig()))
	}
	if len(d.GetSpeeds()) > 0 {
		h.SpeedsReceived(d.GetFrom(), decodeSpeeds(d.GetSpeeds()))
	}
	if request := d.GetConfigAsk(); request != nil {
		h.ConfigRequested(d.GetFrom(), kumquatlug.ConfigRequest{Version: request.GetVersion(), FirstPart: int(min(request.GetFirst(), maxConfigParts))})
	}
	if d.GetConfigPart() != nil {
		h.ConfigPartReceived(d.GetFrom(), decodeConfigPart(d.GetConfigPart()))
	}
	l.handleHandoff(d, h)
	handleTables(d, h)
	if d.GetTurn() != nil {
		h.PermitReceived(kumquatlug.PermitMessage{Gateway: d.GetFrom(), Permit: decodePermit(d.GetTurn())})
	}
	handleDecodeSlots(d, h)
	handleStreamVersion(d, h)
	handleQuarantine(d, h)
	handlePresence(d, h)
}

func (l *Link) decrypt(sealed []byte) (*frontv1.Datagram, error) {
	if len(sealed) > maxDatagramBytes {
		return nil, errors.New("datagram is too long")
	}
	data, err := l.aead.Open(nil, nil, sealed, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decrypt a datagram")
	}
	d := &frontv1.Datagram{}
	return d, errors.Wrap(proto.Unmarshal(data, d), "decode a datagram")
}

// authenticate checks the sender of a datagram, and records the address and key of a hello
// in it.
func (l *Link) authenticate(d *frontv1.Datagram, source net.Addr, h kumquatlug.GatewayHandler) error {
	if d.GetFrom() == l.config.Name {
		return errors.New("sender has the name of this gateway")
	}
	l.mu.Lock()
	started := false
	if hello := d.GetHello(); hello != nil {
		var err error
		if started, err = l.updatePeer(d.GetFrom(), hello.GetAddress(), hello.GetKey()); err != nil {
			l.mu.Unlock()
			return err
		}
	}
	sender, known := l.peers[d.GetFrom()]
	sourceUDP, _ := source.(*net.UDPAddr)
	if !known || sourceUDP == nil || !sender.address.IP.Equal(sourceUDP.IP) {
		l.mu.Unlock()
		return errors.Newf("no gateway %q is known at this address", d.GetFrom())
	}
	sender.hasOurKey = true
	l.mu.Unlock()
	if d.GetHello() != nil {
		h.PeerJoined(d.GetFrom(), started)
	}
	return nil
}
