package entry

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/standin"
)

// Guards against a part of an agent's response that looks complete because the connection was reset while a large request was
// sent.
func TestResetOfAgentDuringLargeRequestIsBroken(t *testing.T) {
	server, err := standin.NewRawServer(func(*http.Request) standin.RawResponse {
		return standin.ResetDuringUpload("HTTP/1.1 200 OK\r\n\r\npart")
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	dialer := peer.NewDialer(nil)
	defer dialer.Close()
	for range 20 {
		response, err := dialer.WorkClient().Post(dialer.WorkURL(server.Address(), "/x"), "text/plain", bytes.NewReader(make([]byte, 8<<20)))
		if err != nil {
			continue
		}
		if body, err := io.ReadAll(verifiedBody{response}); err == nil {
			t.Errorf("complete with %q", body)
		}
		response.Body.Close()
	}
}
