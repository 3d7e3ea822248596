package peer

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxFailureBytes bounds the body of a refusal.
const maxFailureBytes = 64 << 10

// failureBody is the wire form of a failure between processes.
type failureBody struct {
	Step       string `json:"step"`
	Peer       string `json:"peer"`
	Reason     string `json:"reason"`
	Status     int    `json:"status"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
	Dispatch   string `json:"dispatch,omitempty"`
	Cause      string `json:"cause,omitempty"`
}

// WriteFailure responds to a gateway with f. HeaderReason identifies the response as
// a failure of the agent; an error response of the target has only HeaderExecution, with
// the value "done".
func WriteFailure(w http.ResponseWriter, f *kumquatlug.Failure, revision, logical int64) {
	writeFailure(w, f, revision, logical, "")
}

// WriteStaleDispatch responds to a gateway whose run-once dispatch is outdated, with
// the dispatch under which the call may be sent again.
func WriteStaleDispatch(w http.ResponseWriter, f *kumquatlug.Failure, revision, logical int64, dispatch string) {
	writeFailure(w, f, revision, logical, dispatch)
}

func writeFailure(w http.ResponseWriter, f *kumquatlug.Failure, revision, logical int64, dispatch string) {
	body := failureBody{
		Step: f.Step(), Peer: f.Peer(), Reason: f.Reason(), Status: f.Status(),
		RetryAfter: int64(f.RetryAfter()), Dispatch: dispatch, Cause: f.CauseText(),
	}
	text, err := json.Marshal(body)
	if err != nil {
		text = []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderReason, f.Reason())
	w.Header().Set(HeaderExecution, string(f.Execution()))
	w.Header().Set(HeaderRevision, strconv.FormatInt(revision, 10))
	w.Header().Set(HeaderLogical, strconv.FormatInt(logical, 10))
	w.WriteHeader(http.StatusServiceUnavailable)
	w.Write(text)
}

// IsAgentFailure reports whether an agent's response is a failure of the agent itself.
func IsAgentFailure(response *http.Response) bool {
	return response.Header.Get(HeaderReason) != ""
}

// ReadFailure decodes a refusal and the dispatch that it contains, if any.
func ReadFailure(response *http.Response) (f *kumquatlug.Failure, dispatch string) {
	var body failureBody
	text, err := io.ReadAll(io.LimitReader(response.Body, maxFailureBytes))
	if err == nil {
		err = json.Unmarshal(text, &body)
	}
	c := kumquatlug.FailureConfig{
		Step: body.Step, Peer: body.Peer, Reason: response.Header.Get(HeaderReason),
		Execution: kumquatlug.Execution(response.Header.Get(HeaderExecution)), Status: body.Status,
		RetryAfter: kumquatlug.Millis(body.RetryAfter),
	}
	if err != nil {
		c.Cause = err
	} else if body.Cause != "" {
		c.Cause = errors.Newf("%s", body.Cause)
	}
	return kumquatlug.NewFailure(c), body.Dispatch
}

// IntHeader returns the integer in a header, zero if it is missing or malformed.
func IntHeader(h http.Header, name string) int64 {
	n, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
