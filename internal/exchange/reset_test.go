package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// largeRequestBytes is a request that doesn't fit into the buffers of a connection.
const largeRequestBytes = 8 << 20

// Guards against a part of a response without a length that looks complete because the reset came while its request was
// written, and against a whole one that counts as broken off because its peer doesn't read the request.
func TestResponseDuringLargeRequest(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\n\r\n"
		event = "id: 1\ndata: x\n\n"
		pause = 20 * time.Millisecond
		plays = 10
	)
	for name, c := range map[string]struct {
		response standin.RawResponse
		whole    bool
	}{
		"reset":                    {response: standin.RawResponse{Writes: []string{head + event}, Resets: true}},
		"closed, request unread":   {response: standin.RawResponse{Writes: []string{head, event, ""}}},
		"half-closed":              {response: standin.RawResponse{Writes: []string{head + event}, HalfCloses: true, StaysOpen: true}, whole: true},
		"half-closed, later reset": {response: standin.RawResponse{Writes: []string{head + event}, HalfCloses: true, Resets: true}, whole: true},
	} {
		for _, late := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				c.response.Early, c.response.Pause = true, pause
				server, err := standin.NewRawServer(func(*http.Request) standin.RawResponse { return c.response })
				if err != nil {
					t.Fatal(err)
				}
				defer server.Close()
				complete := 0
				for range plays {
					if readDuringRequest(t, server.Address(), late && !c.response.StaysOpen) == nil {
						complete++
					}
				}
				if want := map[bool]int{true: plays}[c.whole]; complete != want {
					t.Errorf("read late %t: %d of %d responses complete, want %d", late, complete, plays, want)
				}
			})
		}
	}
}

// readDuringRequest sends a large request and reads its response, if late not before the write has failed. It returns the
// error of reading.
func readDuringRequest(t *testing.T, address string, late bool) error {
	t.Helper()
	response, err := newPool().Do(t.Context(), Request{
		Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Body: kumquatlug.NewBody(make([]byte, largeRequestBytes)),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	for sent := response.Body.(*responseBody).conn; late && sent.writeError() == nil; {
		<-time.After(time.Millisecond)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Guards against a part of a response, in any framing, that looks complete because the reset came while its request was written.
func TestPartialResponsesResetDuringLargeRequestAreBroken(t *testing.T) {
	for name, text := range standin.PartialResponses("") {
		server, err := standin.NewRawServer(func(*http.Request) standin.RawResponse { return standin.ResetDuringUpload(text) })
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		for _, late := range []bool{false, true} {
			for range 10 {
				if readDuringRequest(t, server.Address(), late) == nil {
					t.Errorf("%s: complete, read late %t", name, late)
				}
			}
		}
	}
}

// Guards against an end of input without an error, because a write that timed out has consumed the error of the connection.
func TestTimeoutOfWriteIsNoEndOfInput(t *testing.T) {
	p := newTestPeer(t, func(_ *testPeer, c net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(c, "part")
		<-t.Context().Done()
	})
	c, err := DialContext(Dialer())(t.Context(), "tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write(make([]byte, largeRequestBytes)); !errors.Is(err, syscall.ETIMEDOUT) {
		t.Fatal(err)
	}
	if text, err := io.ReadAll(c); string(text) != "part" || !errors.Is(err, errAborted) {
		t.Errorf("%q, %v", text, err)
	}
}
