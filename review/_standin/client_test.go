package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client received.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, stamp %q, body of %d bytes", a.status, a.stamp, len(a.body))
}

// client is a client with one connection that it keeps.
type client struct {
	address string
	// header are further header lines of its requests.
	header string
	conn   net.Conn
	in     *bufio.Reader
}

// connect opens the connection unless there is one.
func (k *client) connect() error {
	if k.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", k.address, time.Second)
	if err != nil {
		return err
	}
	k.conn, k.in = conn, bufio.NewReader(conn)
	return nil
}

func (k *client) drop() {
	if k.conn != nil {
		_ = k.conn.Close()
	}
	k.conn = nil
}

// head returns the head of a request.
func head(method, path, id, framing string) string {
	return headWith(method, path, id, deadlineMs, framing)
}

// headWith returns the head of a request whose client waits for so many milliseconds.
func headWith(method, path, id string, deadline int, framing string) string {
	return fmt.Sprintf("%s %s2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n\r\n", method, path, host, id, deadline, framing)
}

// do sends a request and reads its answer.
func (k *client) do(method, path, id string, body string) answer {
	if err := k.connect(); err != nil {
		return answer{err: err}
	}
	_ = k.conn.SetDeadline(time.Now().Add((deadlineMs + 500) * time.Millisecond))
	if _, err := io.WriteString(k.conn, head(method, path, id, fmt.Sprintf("%sContent-Length: %d", k.header, len(body)))+body); err != nil {
		k.drop()
		return answer{err: err}
	}
	return k.read(method)
}

// read reads one answer.
func (k *client) read(method string) answer {
	response, err := http.ReadResponse(k.in, &http.Request{Method: method})
	if err != nil {
		k.drop()
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		k.drop()
	}
	return answer{status: response.StatusCode, stamp: response.Header.Get("Server-Stamp"), body: string(body), err: err}
}
