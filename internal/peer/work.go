package peer

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// WorkPath is the path prefix at which an agent accepts work; the path of the call
// to the target follows it.
const WorkPath = "/work"

// Headers between a gateway and an agent, some of which callers see, too.
const (
	HeaderRequest     = "Kumquatlug-Request-Id"
	HeaderAttempt     = "Kumquatlug-Attempt"
	HeaderKind        = "Kumquatlug-Kind"
	HeaderCaller      = "Kumquatlug-Caller"
	HeaderRevision    = "Kumquatlug-Revision"
	HeaderTimeout     = "Kumquatlug-Timeout-Ms"
	HeaderDispatch    = "Kumquatlug-Dispatch"
	HeaderRunOnce     = "Kumquatlug-Run-Once"
	HeaderLogical     = "Kumquatlug-Logical"
	HeaderFrom        = "Kumquatlug-From"
	HeaderExecution   = "Kumquatlug-Ran"
	HeaderReason      = "Kumquatlug-Reason"
	HeaderKV          = "Kumquatlug-Kv-Handle"
	HeaderFingerprint = "Kumquatlug-Fingerprint"
	HeaderKey         = "Kumquatlug-Key"
	// HeaderAnnounce asks an agent to send the interim status 102 once it has admitted
	// the work.
	HeaderAnnounce = "Kumquatlug-Announce"
	// TrailerEnd is sent after the body: EndComplete, or why the response is incomplete.
	TrailerEnd = "Kumquatlug-End"
	// EndComplete means that the target's response was forwarded in full.
	EndComplete = "whole"
	// EndTruncated means that the target stopped in the middle of its response.
	EndTruncated = "target_cut"
)

// Reasons for an agent's refusal that a gateway handles.
const (
	// ReasonHeldElsewhere: the agent that the failure names as its peer holds the
	// run-once claim of the call.
	ReasonHeldElsewhere = "held_elsewhere"
	// ReasonOutcomeUnknown: it can't be determined any more whether the call ran.
	ReasonOutcomeUnknown = "outcome_unknown"
)

// HeaderReplayed marks a response that was stored by an earlier run of the call.
const HeaderReplayed = "Idempotent-Replayed"

// HeaderIdempotencyKey is the header with which callers identify a call that they may resend.
const HeaderIdempotencyKey = "Idempotency-Key"

// internalHeaderPrefix is the prefix of headers that no caller or target may set.
const internalHeaderPrefix = "Kumquatlug-"

// Work is the metadata of a call that a gateway sends to an agent in headers.
type Work struct {
	request       string
	attempt       int
	kind          kumquatlug.Kind
	caller        string
	revision      int64
	timeout       kumquatlug.Millis
	runOnce       bool
	key           string
	dispatch      string
	fingerprint   string
	logical       int64
	senderAddress string
}

// WorkConfig holds the fields of a [Work].
type WorkConfig struct {
	// Request is the gateway's id of the request; Attempt counts from one.
	Request string
	Attempt int
	Kind    kumquatlug.Kind
	// Caller is the client account, never its key.
	Caller string
	// Revision is the config revision with which the gateway chose the target.
	Revision int64
	// Timeout is the time left until the deadline, in milliseconds.
	Timeout kumquatlug.Millis
	// RunOnce reports that the call must not be repeated; Key and Dispatch then
	// identify the run-once claim.
	RunOnce  bool
	Key      string
	Dispatch string
	// Fingerprint identifies the request for quarantine. Equal requests have equal
	// fingerprints.
	Fingerprint string
	// Logical is the sender's logical time.
	Logical int64
	// SenderAddress is the address at which peers reach the sender, to pull the config.
	SenderAddress string
}

// NewWork returns a Work with the fields of c.
func NewWork(c WorkConfig) Work {
	return Work{
		request: c.Request, attempt: c.Attempt, kind: c.Kind, caller: c.Caller, revision: c.Revision,
		timeout: c.Timeout, runOnce: c.RunOnce, key: c.Key, dispatch: c.Dispatch, fingerprint: c.Fingerprint, logical: c.Logical, senderAddress: c.SenderAddress,
	}
}

// Request returns the gateway's id of the request.
func (w Work) Request() string { return w.request }

// Attempt returns the number of the attempt, counted from one.
func (w Work) Attempt() int { return w.attempt }

// Kind returns the kind of work.
func (w Work) Kind() kumquatlug.Kind { return w.kind }

// Caller returns the client account.
func (w Work) Caller() string { return w.caller }

// Revision returns the config revision with which the gateway chose the target.
func (w Work) Revision() int64 { return w.revision }

// Timeout returns the time that was left until the deadline when the work was sent,
// in milliseconds.
func (w Work) Timeout() kumquatlug.Millis { return w.timeout }

// RunOnce reports whether the call must not be repeated.
func (w Work) RunOnce() bool { return w.runOnce }

// Key returns the idempotency key.
func (w Work) Key() string { return w.key }

// Dispatch returns the run-once dispatch that the gateway received.
func (w Work) Dispatch() string { return w.dispatch }

// Fingerprint returns the fingerprint of the request for quarantine.
func (w Work) Fingerprint() string { return w.fingerprint }

// Logical returns the sender's logical time.
func (w Work) Logical() int64 { return w.logical }

// SenderAddress returns the address at which peers reach the sender.
func (w Work) SenderAddress() string { return w.senderAddress }

// Write sets the headers of a request to an agent.
func (w Work) Write(h http.Header) {
	h.Set(HeaderRequest, w.request)
	h.Set(HeaderAttempt, strconv.Itoa(w.attempt))
	h.Set(HeaderKind, w.kind.String())
	h.Set(HeaderCaller, w.caller)
	h.Set(HeaderRevision, strconv.FormatInt(w.revision, 10))
	h.Set(HeaderTimeout, strconv.FormatInt(int64(w.timeout), 10))
	h.Set(HeaderFingerprint, w.fingerprint)
	h.Set(HeaderFrom, w.senderAddress)
	h.Set(HeaderLogical, strconv.FormatInt(w.logical, 10))
	if !w.runOnce {
		return
	}
	h.Set(HeaderRunOnce, "true")
	h.Set(HeaderKey, w.key)
	h.Set(HeaderDispatch, w.dispatch)
}

// ReadWork parses the headers that [Work.Write] sets.
func ReadWork(h http.Header) (Work, error) {
	protocol, name, ok := strings.Cut(h.Get(HeaderKind), "/")
	if !ok {
		return Work{}, errors.New("work without a kind")
	}
	n := headerInts{header: h}
	w := NewWork(WorkConfig{
		Request: h.Get(HeaderRequest), Attempt: int(n.get(HeaderAttempt)),
		Kind: kumquatlug.NewKind(kumquatlug.Protocol(protocol), name), Caller: h.Get(HeaderCaller),
		Revision: n.get(HeaderRevision), Timeout: kumquatlug.Millis(n.get(HeaderTimeout)),
		RunOnce: h.Get(HeaderRunOnce) == "true", Key: h.Get(HeaderKey), Fingerprint: h.Get(HeaderFingerprint),
		Dispatch: h.Get(HeaderDispatch), Logical: n.get(HeaderLogical), SenderAddress: h.Get(HeaderFrom),
	})
	return w, n.err
}

// headerInts parses integers from headers and keeps the first error.
type headerInts struct {
	header http.Header
	err    error
}

func (n *headerInts) get(name string) int64 {
	value, err := strconv.ParseInt(n.header.Get(name), 10, 64)
	if err != nil && n.err == nil {
		n.err = errors.Wrapf(err, "header %s", name)
	}
	return value
}

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeaders copies the headers that may be forwarded: all except hop-by-hop
// headers, internal headers, the caller's credentials and its idempotency key, which
// is forwarded in an internal header.
func CopyHeaders(to, from http.Header) {
	for name, values := range from {
		if strings.HasPrefix(name, internalHeaderPrefix) || name == "Authorization" || name == HeaderIdempotencyKey {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
}
