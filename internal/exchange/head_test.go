package exchange

import (
	"net/http"
	"strings"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// requireAccepted sends a request to a peer for each of these responses, and requires that those that are true are
// responses with the body "body", and that the others are broken.
func requireAccepted(t *testing.T, responses map[string]bool) {
	t.Helper()
	for response, accepted := range responses {
		server, err := standin.NewRawServer(func(*http.Request) standin.RawResponse { return standin.RawResponse{Writes: []string{response}} })
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		text, err := doRequest(t, newPool(), Request{Address: server.Address(), Method: http.MethodPost, Target: "/x", Host: "h"})
		switch {
		case accepted && (err != nil || text != "body"):
			t.Errorf("%q: body %q, %v", response, text, err)
		case !accepted && (err == nil || kumquatlug.ExecutionOf(err) != kumquatlug.ExecutionUnknown):
			t.Errorf("%q: accepted with body %q, %v", response, text, err)
		}
	}
}

// Guards against a status that HTTP doesn't define and that counts as a response, or is skipped so that the bytes after it
// do.
func TestStatusesOfResponses(t *testing.T) {
	const (
		whole = "Content-Length: 4\r\n\r\nbody"
		next  = "HTTP/1.1 200 OK\r\n" + whole
	)
	responses := map[string]bool{
		"HTTP/1.1 100 Continue\r\n\r\n" + next:            true,
		"HTTP/1.1 103 Early Hints\r\n\r\n" + next:         true,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n" + next: false,
		"HTTP/1.1 101 Switching Protocols\r\n" + whole:    false,
	}
	for _, status := range []string{"200", "299", "404", "500", "599"} {
		responses["HTTP/1.1 "+status+" X\r\n"+whole] = true
	}
	for _, status := range []string{"000", "001", "099", "+20", "-01", "-00", "0", "20", "0200", "600", "700", "999"} {
		responses["HTTP/1.1 "+status+" X\r\n"+whole] = false
		responses["HTTP/1.1 "+status+" X\r\n\r\n"+next] = false
		responses["HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n"+next] = false
		responses["HTTP/1.0 "+status+" X\r\n\r\nbody"] = false
	}
	requireAccepted(t, responses)
}

// Guards against a head with a line that is no header, which is passed on, or whose body ends elsewhere than its peer meant.
func TestHeaderNamesOfResponses(t *testing.T) {
	const (
		begin = "HTTP/1.1 200 OK\r\n"
		whole = "Content-Length: 4\r\n\r\nbody"
		token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	)
	responses := map[string]bool{}
	for b := range 256 {
		if name := string([]byte{'X', byte(b), 'Y'}); b != ':' {
			responses[begin+name+": 9\r\n"+whole] = strings.IndexByte(token, byte(b)) >= 0
		}
	}
	for _, name := range []string{
		"", " ", "X ", "X  ", "X\t", "X Y", "X Y ", "Content Length", "Content-Length ", "Transfer-Encoding ", "Id ", "\x00", "X\x00", "\x7fX", "X\r", "\xc2\xa0X",
	} {
		responses[begin+name+": 2\r\n"+whole] = false
		responses[begin+whole[:19]+name+": 2\r\n\r\nbody"] = false
		responses["HTTP/1.1 103 Early Hints\r\n"+name+": 2\r\n\r\n"+begin+whole] = false
	}
	requireAccepted(t, responses)
}

// Guards against a control byte in the value of a header that is passed on.
func TestHeaderValuesOfResponses(t *testing.T) {
	responses := map[string]bool{}
	for b := range 256 {
		control := b < ' ' && b != '\t' || b == 0x7f
		responses["HTTP/1.1 200 OK\r\nX: a"+string([]byte{byte(b)})+"c\r\nContent-Length: 4\r\n\r\nbody"] = !control
	}
	requireAccepted(t, responses)
}
