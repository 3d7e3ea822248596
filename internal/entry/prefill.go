package entry

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
)

// exportPath is where an engine prefills a prompt and keeps its KV cache for
// export.
const exportPath = "/kv/export"

// maxExportBytes is the maximum size of an engine's response to an export.
const maxExportBytes = 64 << 10

func jsonHeader() http.Header { return http.Header{"Content-Type": {"application/json"}} }

// readPrefill reads the handle with which another engine fetches the KV cache of the
// prompt. The cache itself never passes through a gateway.
func (s *responseStream) readPrefill(g *guardedAttempt, response *http.Response) (*dispatch.AttemptFailure, error) {
	var err error
	s.kvHandle, err = readHandle(verifiedBody{response})
	if err != nil {
		failed := s.streamCut(g.attempt, err)
		failed.Notices = noticesFrom(response.Trailer)
		return failed, nil
	}
	g.callOff()
	return nil, nil
}

func readHandle(body io.Reader) (string, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxExportBytes))
	if err != nil {
		return "", errors.Wrap(err, "read KV handle")
	}
	var export struct {
		Handle string `json:"handle"`
	}
	if err := json.Unmarshal(text, &export); err != nil {
		return "", errors.Wrap(err, "read KV handle")
	}
	if export.Handle == "" {
		return "", errors.Mark(errors.New("KV export response has no handle"), kumquatlug.ErrNotFound)
	}
	return export.Handle, nil
}
