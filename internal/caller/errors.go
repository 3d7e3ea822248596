package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// newRefusal returns a failure from before anything was sent to a target.
func newRefusal(step, reason string, status int) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Reason: reason, Execution: kumquatlug.NotExecuted, Status: status,
	})
}

func newRefusalWithCause(step, reason string, status int, cause error) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Reason: reason, Execution: kumquatlug.NotExecuted, Status: status, Cause: cause,
	})
}

// errorBody is the OpenAI error format with additional fields.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message    string               `json:"message"`
	Type       string               `json:"type"`
	Param      *string              `json:"param"`
	Code       string               `json:"code"`
	Ran        kumquatlug.Execution `json:"ran"`
	Request    string               `json:"request_id"`
	RetryAfter int64                `json:"retry_after_ms,omitempty"`
}

func newErrorBody(id string, f *kumquatlug.Failure) errorBody {
	return errorBody{errorDetail{
		Message: errorMessage(f), Type: errorType(f.Status()), Code: f.Reason(),
		Ran: f.Execution(), Request: id, RetryAfter: int64(f.RetryAfter()),
	}}
}

// errorMessage returns the step and the reason. The cause is included only if
// the caller's own request is at fault; otherwise it would name internal
// processes.
func errorMessage(f *kumquatlug.Failure) string {
	text := f.Step() + ": " + f.Reason()
	if f.Unwrap() != nil && f.Status() < http.StatusInternalServerError {
		text += ": " + f.Unwrap().Error()
	}
	return text
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// refuse writes f as the final response.
func (h *Handler) refuse(w http.ResponseWriter, id string, f *kumquatlug.Failure) {
	h.logger.Info("refused", zap.String("request", id), zap.String("step", f.Step()), zap.String("peer", f.Peer()),
		zap.String("reason", f.Reason()), zap.String("ran", string(f.Execution())), zap.Int("status", f.Status()),
		zap.Int64("retry_after_ms", int64(f.RetryAfter())), zap.String("cause", f.CauseText()))
	w.Header().Set(peer.HeaderExecution, string(f.Execution()))
	if f.RetryAfter() > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(ceilSeconds(f.RetryAfter()), 10))
	}
	writeJSON(w, f.Status(), newErrorBody(id, f))
}

// ceilSeconds rounds up, so that no caller retries too early.
func ceilSeconds(m kumquatlug.Millis) int64 {
	return int64((m + kumquatlug.Second - 1) / kumquatlug.Second)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":{"code":"internal"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}
