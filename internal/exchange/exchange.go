// Package exchange is an HTTP/1.1 client over pooled connections that sends each
// request at most once.
//
// The transport of net/http retries some requests by itself when a pooled
// connection is broken, and takes whatever bytes arrive next as the response.
// Both are wrong here: a request that must not run twice could run twice, and a
// late duplicate response to one request could be returned for the next. A [Pool]
// therefore writes a request to one connection only, reports for each failure
// whether any byte may have been sent, and checks that a response matches its
// request before it returns it.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Limits of exchanges and connections.
const (
	// defaultIdleTimeout is how long an idle connection is kept when the peer
	// announces no timeout of its own. Peers close idle connections after a few
	// seconds; a request sent while the peer closes is lost.
	defaultIdleTimeout = 2 * kumquatlug.Second
	// idleMargin is how much earlier than the peer's announced timeout a
	// connection is dropped: the peer counts from when it sent its response, and
	// rounds to whole seconds.
	idleMargin = 600 * kumquatlug.Millis(1)
	// maxStrayResponses is how many responses to other requests are skipped before
	// the connection is closed.
	maxStrayResponses = 2
	// maxStrayBytes bounds how much of such a response's body is discarded.
	maxStrayBytes = 1 << 20
	// maxInlineRequestBytes is the largest request that is written in full before
	// its response is read; it fits any socket buffer. A larger one is written
	// concurrently, since the peer may respond before it has read all of it.
	maxInlineRequestBytes = 4 << 10
	// readBufferBytes is large enough for a response head or a few stream events.
	readBufferBytes = 4 << 10
)

// Request is one HTTP request.
type Request struct {
	// Address is the peer's IP:port.
	Address string
	// Method and Target form the request line; Host is the Host header.
	Method, Target, Host string
	// Header holds all headers except Host and Content-Length.
	Header http.Header
	// Body is the complete body.
	Body kumquatlug.Body
	// MatchesResponse reports whether a response belongs to this request; nil accepts
	// any.
	MatchesResponse func(*http.Response) bool
	// MaxIdleTime is the longest time that the connection may have been idle, zero for
	// no limit: the peer may close an idle connection while the request is sent.
	MaxIdleTime kumquatlug.Millis
	// OnSend is called once there is a connection, just before the request is written; nil for
	// none.
	OnSend func()
	// Withdrawn is asked once a new connection has been made, which may take several hundred
	// milliseconds; if it returns true, nothing is sent. Nil for never.
	Withdrawn func() bool
	// RequireFraming is for a peer that marks the end of each response: a body without a length or
	// chunks ends with [ErrUnframed], as one that breaks off must not look complete. A body that
	// shows its end itself, such as JSON, needs no other mark.
	RequireFraming bool
}

// errWithdrawn is the cause of the failure of a request that was withdrawn while it waited for a
// connection.
var errWithdrawn = errors.New("withdrawn during the connection attempt")

// Config holds the settings of a [Pool].
type Config struct {
	Clock kumquatlug.Clock
	// MaxIdlePerAddress is the maximum number of idle connections per address.
	MaxIdlePerAddress int
	// OnTooLarge is called for each response from an address that exceeds a limit; nil for none.
	OnTooLarge func(address string, err error)
}

// Pool sends requests and reuses idle connections. It is safe for concurrent use.
type Pool struct {
	c      Config
	dialer *net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
}

// New returns an empty pool.
func New(c Config) *Pool {
	return &Pool{c: c, dialer: Dialer(), idle: map[string][]*conn{}}
}

// conn is one connection. It carries one exchange at a time.
type conn struct {
	net.Conn
	address string
	head    *headReader
	reader  *bufio.Reader
	// idleSince is when the connection became idle, idleUntil when it expires.
	idleSince, idleUntil kumquatlug.Millis
	// writing is true until the whole request has been written.
	writing atomic.Bool
	// writeErr holds the first error of a concurrent write.
	writeErr atomic.Pointer[error]
}

// Do sends r once and returns its response once the head has been read. The caller
// must close the body. Errors are [kumquatlug.Failure] values:
// [kumquatlug.NotExecuted] when no connection was made and no byte was sent, else
// [kumquatlug.ExecutionUnknown].
func (p *Pool) Do(ctx context.Context, r Request) (*http.Response, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, failure("connect", r.Address, kumquatlug.NotExecuted, err)
	}
	// A deadline in the past unblocks pending reads and writes.
	stopCancel := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if r.OnSend != nil {
		r.OnSend()
	}
	response, err := c.roundTrip(r)
	if err != nil {
		stopCancel()
		_ = c.Close()
		if errors.Is(err, kumquatlug.ErrTooLarge) {
			p.reportTooLarge(r.Address, err)
		}
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		return nil, failure("exchange", r.Address, kumquatlug.ExecutionUnknown, err)
	}
	response.Body = &responseBody{
		Reader: response.Body, pool: p, conn: c, response: response, stopCancel: stopCancel, idleTimeout: peerIdleTimeout(response.Header),
		requireFraming: r.RequireFraming,
	}
	return response, nil
}

func (p *Pool) reportTooLarge(address string, err error) {
	if p.c.OnTooLarge != nil {
		p.c.OnTooLarge(address, err)
	}
}

func failure(step, peer string, execution kumquatlug.Execution, cause error) error {
	reason := "peer_failed"
	if errors.Is(cause, kumquatlug.ErrTooLarge) {
		reason = kumquatlug.ReasonTooLarge
	}
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Peer: peer, Reason: reason, Execution: execution, Status: http.StatusBadGateway, Cause: cause,
	})
}

// acquire returns a reusable idle connection, or dials a new one.
func (p *Pool) acquire(ctx context.Context, r Request) (*conn, error) {
	for {
		c := p.popIdle(r)
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := dial(ctx, p.dialer, r.Address)
	if err != nil {
		return nil, err
	}
	if r.Withdrawn != nil && r.Withdrawn() {
		_ = raw.Close()
		return nil, errWithdrawn
	}
	head := &headReader{conn: raw}
	return &conn{Conn: raw, address: r.Address, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}, nil
}

// popIdle removes the most recently used idle connection from the pool and returns
// it. It closes expired ones on the way and returns nil when none is left.
func (p *Pool) popIdle(r Request) *conn {
	now := p.c.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[r.Address]
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		p.idle[r.Address] = conns
		if now < c.idleUntil && (r.MaxIdleTime == 0 || now-c.idleSince < r.MaxIdleTime) {
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, r.Address)
	return nil
}

// putIdle returns a connection to the pool, or closes it when the pool holds enough
// for its address.
func (p *Pool) putIdle(c *conn, idleTimeout kumquatlug.Millis) {
	c.idleSince = p.c.Clock.Now()
	c.idleUntil = c.idleSince + idleTimeout
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.address]
	if len(conns) >= p.c.MaxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(conns, c)
}

// CloseIdle closes idle connections that have expired, on which the peer has sent bytes or its end, and
// those to addresses for which keep returns false. Call it about once a second.
func (p *Pool) CloseIdle(keep func(address string) bool) {
	now := p.c.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now < c.idleUntil && keep(address) && c.reusable() {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// roundTrip writes r and reads the head of its response.
func (c *conn) roundTrip(r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	if err := c.writeRequest(r); err != nil {
		return nil, err
	}
	for range maxStrayResponses + 1 {
		c.head.begin()
		response, err := http.ReadResponse(c.reader, request)
		c.head.end()
		if err != nil {
			return nil, errors.CombineErrors(err, c.writeError())
		}
		if err := CheckHead(response); err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode < http.StatusOK:
			continue
		case r.MatchesResponse == nil || r.MatchesResponse(response):
			return response, nil
		}
		// A late or duplicate response to another request precedes the expected one.
		if err := discardStray(response); err != nil {
			return nil, errors.Wrap(err, "read past the answer to another request")
		}
		if response.Close {
			return nil, errors.New("the answer belongs to another request")
		}
	}
	return nil, errors.New("the answers belong to other requests")
}

// discardStray reads the body of a response to another request to its end.
func discardStray(response *http.Response) error {
	n := response.ContentLength
	if n <= maxStrayBytes {
		var err error
		if n, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes+1)); err != nil {
			return err
		}
	}
	if n > maxStrayBytes {
		// What remains of it would be read as the next response.
		return tooLarge("its body has more than %d bytes", maxStrayBytes)
	}
	return nil
}

// writeRequest sends the request. One larger than maxInlineRequestBytes is written
// in a goroutine while the response is read.
func (c *conn) writeRequest(r Request) error {
	head := encodeHead(r)
	if len(head)+r.Body.Len() <= maxInlineRequestBytes {
		for _, part := range r.Body.Parts() {
			head = append(head, part...)
		}
		_, err := c.Write(head)
		return err
	}
	c.writing.Store(true)
	go c.watchWrite()
	go func() {
		// WriteTo changes the list, not the parts, which other attempts may be sending.
		parts := append(net.Buffers{head}, r.Body.Parts()...)
		if _, err := parts.WriteTo(c.Conn); err != nil {
			c.writeErr.CompareAndSwap(nil, &err)
			return
		}
		c.writing.Store(false)
	}()
	return nil
}

func (c *conn) writeError() error {
	if err := c.writeErr.Load(); err != nil {
		return *err
	}
	return nil
}

// encodeHead returns the request line and the headers.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.Grow(headBufferBytes)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writes to a bytes.Buffer don't fail. Header.Write replaces line breaks in
	// values, which prevents header injection.
	_ = r.Header.Write(&b)
	if r.Body.Len() > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(r.Body.Len()))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// headBufferBytes is the initial buffer size, enough for nearly every head.
const headBufferBytes = 768

// responseBody returns the connection to the pool when the response was read to its
// end, and closes it otherwise.
type responseBody struct {
	io.Reader
	pool       *Pool
	conn       *conn
	response   *http.Response
	stopCancel func() bool
	// idleTimeout is read from the header at once, since callers remove headers that
	// concern the connection before they close the body.
	idleTimeout    kumquatlug.Millis
	requireFraming bool
	eof            bool
	closed         bool
}

func (b *responseBody) Read(buf []byte) (int, error) {
	n, err := b.Reader.Read(buf)
	if err == io.EOF {
		b.eof = true
		if b.requireFraming && !b.framed() {
			err = ErrUnframed
		}
	}
	return n, err
}

// Close ends the exchange. If the response was not read to its end, Close closes
// the connection, which makes the peer stop its work.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	stopped := b.stopCancel()
	if !b.eof || !stopped || !b.framed() || b.response.Close || b.conn.writing.Load() || b.conn.reader.Buffered() > 0 {
		return b.conn.Close()
	}
	b.pool.putIdle(b.conn, b.idleTimeout)
	return nil
}

// framed reports whether the end of the body is marked.
func (b *responseBody) framed() bool { return FramingOf(b.response) != kumquatlug.FramingConnection }

// FramingOf returns how a response marks the end of its body.
func FramingOf(r *http.Response) kumquatlug.Framing {
	switch {
	case r.ContentLength >= 0:
		return kumquatlug.FramingLength
	case len(r.TransferEncoding) > 0:
		return kumquatlug.FramingChunks
	}
	return kumquatlug.FramingConnection
}

// ErrUnframed is the error at the end of a body that ends with its connection although its request
// has RequireFraming.
var ErrUnframed = errors.New("the response ends with its connection")

// peerIdleTimeout returns how long the connection may stay idle: the timeout of the
// Keep-Alive header less idleMargin, else defaultIdleTimeout.
func peerIdleTimeout(h http.Header) kumquatlug.Millis {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return kumquatlug.Millis(seconds)*kumquatlug.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
