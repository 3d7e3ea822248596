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

// exportPath is where an engine runs a prompt and keeps its KV cache for export.
const exportPath = "/kv/export"

// maxHandle bounds an engine's answer to an export, in bytes.
const maxHandle = 64 << 10

func jsonHeader() http.Header { return http.Header{"Content-Type": {"application/json"}} }

// prefill runs the prompt on one engine and keeps the handle by which another
// engine fetches the KV cache. The cache itself never passes an entry.
func (s *streaming) prefill(ctx context.Context, a dispatch.Attempt) (*dispatch.Failed, error) {
	body, err := s.generation.Body(0, s.request.enginePriority())
	if err != nil {
		return nil, err
	}
	attemptCtx, end := s.request.entry.attempts.begin(ctx, a.Target())
	defer end()
	answer, refused := s.request.send(attemptCtx, a, outgoing{
		method: http.MethodPost, path: exportPath, header: jsonHeader(), body: body,
	})
	if ctx.Err() != nil {
		return nil, s.request.gone("run prompt", ctx.Err())
	}
	if refused != nil {
		failed := refused.failed()
		failed.Resumable = true
		return &failed, nil
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, s.engineError(a, answer)
	}
	s.handle, err = readHandle(wholeBody{answer})
	if err != nil {
		failed := s.cut(a, err)
		failed.Notices = noticesOf(answer.Trailer)
		return failed, nil
	}
	return nil, nil
}

func readHandle(body io.Reader) (string, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxHandle))
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
		return "", errors.Mark(errors.New("an export without a handle"), kumquatlug.ErrNotFound)
	}
	return export.Handle, nil
}
