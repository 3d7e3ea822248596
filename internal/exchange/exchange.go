// Package exchange carries single HTTP/1.1 requests over kept connections, each
// exactly once.
//
// net/http's transport sends some requests again by itself when a kept
// connection turns out to be broken, and it takes whatever bytes come next for
// the answer. Both are wrong here: a request that may not run twice would run
// twice, and a late second answer to one request would be given to the next.
// So a [Pool] writes a request to one connection and nowhere else, says of each
// failure whether any byte had left, and asks whether an answer belongs to the
// request before it hands it out.
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

// Figures of exchanges.
const (
	// defaultIdleTimeout is how long a connection is kept when the peer states no
	// timeout of its own. Peers close idle connections after some seconds; a
	// request that crosses such a close is lost.
	defaultIdleTimeout = 2 * kumquatlug.Second
	// idleMargin is how much earlier than the peer states it is given up: the
	// peer counts from when it sent its answer and rounds to whole seconds.
	idleMargin = 600 * kumquatlug.Millis(1)
	// maxStrayResponses is how many answers to other requests are read past before
	// the connection is given up.
	maxStrayResponses = 2
	// maxStrayBytes bounds what is read past of such an answer.
	maxStrayBytes = 1 << 20
	// maxInlineRequestBytes is the largest request that is written before its answer is
	// read; it fits any socket's buffer. A larger one is written beside, since a
	// peer may answer before it has read it all.
	maxInlineRequestBytes = 4 << 10
	// readBufferBytes holds a head or some events.
	readBufferBytes = 4 << 10
)

// Request is one request.
type Request struct {
	// Address is IP:port of the peer.
	Address string
	// Method and Target are the first line; Host the peer's name there.
	Method, Target, Host string
	// Header are all headers but Host and Content-Length.
	Header http.Header
	// Body is the whole body, nil for none.
	Body []byte
	// Belongs tells whether an answer is the one to this request; nil takes any.
	Belongs func(*http.Response) bool
	// Fresh demands a connection that was used a moment ago or never: one that
	// lay idle may be closed by the peer as the request leaves.
	Fresh kumquatlug.Millis
}

// Config is what a [Pool] is made of.
type Config struct {
	Clock kumquatlug.Clock
	// Kept is how many idle connections are kept to one address.
	Kept int
}

// Pool keeps connections. It is safe for concurrent use.
type Pool struct {
	c      Config
	dialer *net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
}

// New returns a pool without connections.
func New(c Config) *Pool {
	return &Pool{c: c, dialer: Dialer(), idle: map[string][]*conn{}}
}

// conn is one connection; it carries one exchange at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleSince and idleUntil bound its time in the pool.
	idleSince, idleUntil kumquatlug.Millis
	// writing is true until the whole request has been written.
	writing atomic.Bool
	// writeErr keeps the error of a write beside the reading.
	writeErr atomic.Value
}

// Do sends r once and returns the head of its answer; the body must be closed.
// Its errors are [kumquatlug.Failure] values with RanNot when no byte left.
func (p *Pool) Do(ctx context.Context, r Request) (*http.Response, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, failure("connect", r.Address, kumquatlug.RanNot, err)
	}
	// The deadline in the past wakes whoever reads or writes.
	stopCancel := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, err := c.roundTrip(r)
	if err != nil {
		stopCancel()
		_ = c.Close()
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		return nil, failure("exchange", r.Address, kumquatlug.RanUnknown, err)
	}
	response.Body = &responseBody{Reader: response.Body, pool: p, conn: c, response: response, stopCancel: stopCancel}
	return response, nil
}

func failure(step, peer string, ran kumquatlug.Ran, cause error) error {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Peer: peer, Reason: "peer_failed", Ran: ran, Status: http.StatusBadGateway, Cause: cause,
	})
}

// acquire returns a kept connection that is still good, or a new one.
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
	return &conn{Conn: raw, address: r.Address, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
}

// popIdle takes the connection used last out of the pool, nil when none is good.
func (p *Pool) popIdle(r Request) *conn {
	now := p.c.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[r.Address]
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		p.idle[r.Address] = conns
		if now < c.idleUntil && (r.Fresh == 0 || now-c.idleSince < r.Fresh) {
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, r.Address)
	return nil
}

// putIdle keeps a connection for the next request.
func (p *Pool) putIdle(c *conn, idleTimeout kumquatlug.Millis) {
	c.idleSince = p.c.Clock.Now()
	c.idleUntil = c.idleSince + idleTimeout
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.address]
	if len(conns) >= p.c.Kept {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(conns, c)
}

// Sweep closes connections whose time is over and those to peers that are not
// to be kept; call it each second or so.
func (p *Pool) Sweep(keep func(address string) bool) {
	now := p.c.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now < c.idleUntil && keep(address) {
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

// roundTrip writes r and reads the head of its answer.
func (c *conn) roundTrip(r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	if err := c.writeRequest(r); err != nil {
		return nil, err
	}
	for range maxStrayResponses + 1 {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, errors.CombineErrors(err, c.writeError())
		}
		switch {
		case response.StatusCode < http.StatusOK:
			continue
		case r.Belongs == nil || r.Belongs(response):
			return response, nil
		}
		// The answer to another request, late or sent twice, lies before ours.
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil {
			return nil, errors.Wrap(err, "read past the answer to another request")
		}
		if response.Close {
			return nil, errors.New("the answer belongs to another request")
		}
	}
	return nil, errors.New("the answers belong to other requests")
}

// writeRequest sends the request; a large one beside the reading.
func (c *conn) writeRequest(r Request) error {
	head := encodeHead(r)
	if len(head)+len(r.Body) <= maxInlineRequestBytes {
		_, err := c.Write(append(head, r.Body...))
		return err
	}
	c.writing.Store(true)
	go func() {
		parts := net.Buffers{head, r.Body}
		if _, err := parts.WriteTo(c.Conn); err != nil {
			c.writeErr.Store(err)
			return
		}
		c.writing.Store(false)
	}()
	return nil
}

func (c *conn) writeError() error {
	err, _ := c.writeErr.Load().(error)
	return err
}

// encodeHead returns the first line and the headers.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.Grow(headBufferBytes)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// A bytes.Buffer does not fail, and Write replaces line breaks in values.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// headBufferBytes holds nearly every head.
const headBufferBytes = 768

// responseBody gives the connection back when the answer was read to its end, and
// closes it otherwise.
type responseBody struct {
	io.Reader
	pool       *Pool
	conn       *conn
	response   *http.Response
	stopCancel func() bool
	eof        bool
	closed     bool
}

func (b *responseBody) Read(buf []byte) (int, error) {
	n, err := b.Reader.Read(buf)
	if err == io.EOF {
		b.eof = true
	}
	return n, err
}

// Close ends the exchange. An answer that was not read to its end is broken off
// by closing the connection, which tells the peer to stop working.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	stopped := b.stopCancel()
	framed := b.response.ContentLength >= 0 || len(b.response.TransferEncoding) > 0
	if !b.eof || !stopped || !framed || b.response.Close || b.conn.writing.Load() || b.conn.reader.Buffered() > 0 {
		return b.conn.Close()
	}
	b.pool.putIdle(b.conn, peerIdleTimeout(b.response.Header))
	return nil
}

// peerIdleTimeout returns how long the peer keeps the connection open.
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
