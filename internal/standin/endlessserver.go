package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EndlessServer is a peer that answers each request with bytes without end.
type EndlessServer struct {
	config   EndlessConfig
	listener net.Listener
	mu       sync.Mutex
	open     int
	closed   []ClosedResponse
}

// EndlessConfig configures an [EndlessServer].
type EndlessConfig struct {
	Form Endless
	// MaxBytes is what is sent if the connection isn't closed.
	MaxBytes int64
	// Pause is the time between two bytes, zero to send all at once.
	Pause time.Duration
	// Headers returns the header lines, each with its line ending, by which the caller knows the
	// response to a request; nil for none.
	Headers func(*http.Request) string
}

// ClosedResponse is a response whose connection the caller has closed.
type ClosedResponse struct {
	// Sent is the number of bytes sent, including those that the caller never read, Open the time
	// from the request.
	Sent int64
	Open time.Duration
}

// NewEndlessServer starts a server on a free port.
func NewEndlessServer(c EndlessConfig) (*EndlessServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &EndlessServer{config: c, listener: l}
	go s.accept()
	return s, nil
}

// SocketBytes returns the most that the socket buffers of a connection hold, of which the receiver may
// have read nothing: the kernel lets the receive buffer grow to the largest size of tcp_rmem, and the
// servers here have a small send buffer.
func SocketBytes() (int64, error) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/tcp_rmem")
	if err != nil {
		return 0, err
	}
	sizes := strings.Fields(string(text))
	largest, err := strconv.ParseInt(sizes[len(sizes)-1], 10, 64)
	return largest + 4*endlessBlockBytes, err
}

// Address returns the address of the server, IP:port.
func (s *EndlessServer) Address() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *EndlessServer) Close() { _ = s.listener.Close() }

// Open returns the number of responses that are being sent.
func (s *EndlessServer) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Closed returns the responses whose connection the caller has closed.
func (s *EndlessServer) Closed() []ClosedResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ClosedResponse(nil), s.closed...)
}

func (s *EndlessServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *EndlessServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	headers := ""
	if s.config.Headers != nil {
		headers = s.config.Headers(r)
	}
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
	began := time.Now()
	// The send buffer would otherwise hold several MB that the caller never reads.
	_ = c.(*net.TCPConn).SetWriteBuffer(endlessBlockBytes)
	sent, _ := s.config.Form.Write(c, headers, s.config.MaxBytes, s.config.Pause)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.closed = append(s.closed, ClosedResponse{Sent: sent, Open: time.Since(began)})
}
