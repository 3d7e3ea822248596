package entry

import (
	"context"
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

// prefill runs the prompt on one engine and keeps the handle with which another
// engine fetches the KV cache. The cache itself never passes through a gateway.
func (s *responseStream) prefill(ctx context.Context, a dispatch.Attempt) (*dispatch.AttemptFailure, error) {
	body, err := s.generation.Body(0, s.request.enginePriority())
	if err != nil {
		return nil, err
	}
	attemptCtx, end := s.request.entry.attempts.start(ctx, a.Target())
	defer end()
	response, refused := s.request.send(attemptCtx, a, agentRequest{
		method: http.MethodPost, path: exportPath, header: jsonHeader(), body: body,
	})
	if ctx.Err() != nil {
		return nil, s.request.callerDisconnected("run prompt", ctx.Err())
	}
	if refused != nil {
		failed := refused.attemptFailure()
		failed.Resumable = true
		return &failed, nil
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, s.engineError(a, response)
	}
	s.kvHandle, err = readHandle(verifiedBody{response})
	if err != nil {
		failed := s.streamCut(a, err)
		failed.Notices = noticesFrom(response.Trailer)
		return failed, nil
	}
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
