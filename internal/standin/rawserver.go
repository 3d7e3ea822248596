package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// RawResponse is a response in the bytes in which a peer in trouble sends it.
type RawResponse struct {
	// Writes are sent one after the other, with Pause between two of them.
	Writes []string
	Pause  time.Duration
	// Early says that it is sent without the body of the request having been read.
	Early bool
	// HalfCloses says that the sending side is closed after the last write.
	HalfCloses bool
	// Resets says that the connection is reset, Pause after that.
	Resets bool
	// StaysOpen says that the connection stays open until the caller closes it.
	StaysOpen bool
}

// resetDelay is the time between a response and the reset that follows it.
const resetDelay = 20 * time.Millisecond

// ResetDuringUpload returns a response that is sent while the body of its request is still being written, and whose connection
// is then reset.
func ResetDuringUpload(text string) RawResponse {
	return RawResponse{Writes: []string{text}, Early: true, Resets: true, Pause: resetDelay}
}

// PartialResponses are the heads of successes, without header fields of their own, and what is sent of their bodies before a
// reset. header is added to each head.
func PartialResponses(header string) map[string]string {
	const head, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n"
	return map[string]string{
		"no length":                    head + header + "\r\npart",
		"HTTP/1.0":                     "HTTP/1.0 200 OK\r\n" + header + "\r\npart",
		"HTTP/1.0 with a length":       "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n" + header + "\r\npart",
		"between two chunks":           head + chunked + header + "\r\n4\r\npart\r\n",
		"before the end of the chunks": head + chunked + header + "\r\n4\r\npart\r\n0\r\n",
		"inside the trailer":           head + chunked + "Trailer: Sum\r\n" + header + "\r\n4\r\npart\r\n0\r\nSum: 1\r\n",
	}
}

// RawServer is a peer that answers the one request of each connection with a [RawResponse].
type RawServer struct {
	listener net.Listener
	respond  func(*http.Request) RawResponse
}

// NewRawServer starts a server on a free port.
func NewRawServer(respond func(*http.Request) RawResponse) (*RawServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: l, respond: respond}
	go s.accept()
	return s, nil
}

// Address returns the address of the server, IP:port.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Close stops accepting connections.
func (s *RawServer) Close() { _ = s.listener.Close() }

func (s *RawServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *RawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	response := s.respond(r)
	if !response.Early {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
	for i, part := range response.Writes {
		if i > 0 {
			time.Sleep(response.Pause)
		}
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
	}
	if response.HalfCloses {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	if response.Resets {
		time.Sleep(response.Pause)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	if response.StaysOpen {
		_, _ = io.Copy(io.Discard, reader)
	}
}
