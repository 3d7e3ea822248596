package peer

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// WorkPath is where an agent takes work; the target's own path follows.
const WorkPath = "/work"

// Headers between entry and agent, and those that callers see.
const (
	HeaderRequest  = "Kumquatlug-Request-Id"
	HeaderAttempt  = "Kumquatlug-Attempt"
	HeaderKind     = "Kumquatlug-Kind"
	HeaderCaller   = "Kumquatlug-Caller"
	HeaderRevision = "Kumquatlug-Revision"
	HeaderTimeout  = "Kumquatlug-Timeout-Ms"
	HeaderDispatch = "Kumquatlug-Dispatch"
	HeaderOnce     = "Kumquatlug-Run-Once"
	HeaderLogical  = "Kumquatlug-Logical"
	HeaderFrom     = "Kumquatlug-From"
	HeaderRan      = "Kumquatlug-Ran"
	HeaderReason   = "Kumquatlug-Reason"
	HeaderKV       = "Kumquatlug-Kv-Handle"
	HeaderPrint    = "Kumquatlug-Fingerprint"
	HeaderKey      = "Kumquatlug-Key"
	// TrailerEnd is sent after the body: EndWhole, or a reason why it was cut.
	TrailerEnd = "Kumquatlug-End"
	// EndWhole says that the target's answer was passed on in full.
	EndWhole = "whole"
	// EndCut says that the target stopped in the middle of its answer.
	EndCut = "target_cut"
)

// Reasons of an agent's refusal that an entry acts on.
const (
	// ReasonElsewhere: the agent that the failure names as its peer holds the
	// run-once claim of the call.
	ReasonElsewhere = "held_elsewhere"
	// ReasonUnknown: whether the call ran can't be known any more.
	ReasonUnknown = "outcome_unknown"
)

// ReplayedHeader marks an answer that was kept from an earlier run of the call.
const ReplayedHeader = "Idempotent-Replayed"

// KeyHeader is the header by which callers name a call that they may send again.
const KeyHeader = "Idempotency-Key"

// internalHeaderPrefix starts the names of headers that no caller or target may set.
const internalHeaderPrefix = "Kumquatlug-"

// Work is what an entry tells an agent about a call besides the call itself.
type Work struct {
	request     string
	attempt     int
	kind        kumquatlug.Kind
	caller      string
	revision    int64
	timeout     kumquatlug.Millis
	once        bool
	key         string
	dispatch    string
	fingerprint string
	logical     int64
	from        string
}

// WorkConfig is what a [Work] is made of.
type WorkConfig struct {
	// Request is the entry's id of the request; Attempt counts from one.
	Request string
	Attempt int
	Kind    kumquatlug.Kind
	// Caller is the account, never its key.
	Caller string
	// Revision is the config under which the entry chose this target.
	Revision int64
	// Timeout is what is left of the deadline.
	Timeout kumquatlug.Millis
	// Once says that the call may not be repeated; Key and Dispatch then name
	// the run-once claim.
	Once     bool
	Key      string
	Dispatch string
	// Fingerprint names the request for quarantine, equal for equal requests.
	Fingerprint string
	// Logical is the sender's logical time.
	Logical int64
	// From is where the sender's peers reach it, to pull config from.
	From string
}

// NewWork returns the work that c describes.
func NewWork(c WorkConfig) Work {
	return Work{
		request: c.Request, attempt: c.Attempt, kind: c.Kind, caller: c.Caller, revision: c.Revision,
		timeout: c.Timeout, once: c.Once, key: c.Key, dispatch: c.Dispatch, fingerprint: c.Fingerprint, logical: c.Logical, from: c.From,
	}
}

// Request returns the entry's id of the request.
func (w Work) Request() string { return w.request }

// Attempt returns the number of the attempt, from one.
func (w Work) Attempt() int { return w.attempt }

// Kind returns the kind of work.
func (w Work) Kind() kumquatlug.Kind { return w.kind }

// Caller returns the caller's account.
func (w Work) Caller() string { return w.caller }

// Revision returns the config revision that the entry routed under.
func (w Work) Revision() int64 { return w.revision }

// Timeout returns what was left of the deadline when the work was sent.
func (w Work) Timeout() kumquatlug.Millis { return w.timeout }

// Once reports whether the call may not be repeated.
func (w Work) Once() bool { return w.once }

// Key returns the idempotency key.
func (w Work) Key() string { return w.key }

// Dispatch returns the run-once dispatch that the entry was given.
func (w Work) Dispatch() string { return w.dispatch }

// Fingerprint returns the name of the request for quarantine.
func (w Work) Fingerprint() string { return w.fingerprint }

// Logical returns the sender's logical time.
func (w Work) Logical() int64 { return w.logical }

// From returns where the sender's peers reach it.
func (w Work) From() string { return w.from }

// Write puts the work into the headers of a request to an agent.
func (w Work) Write(h http.Header) {
	h.Set(HeaderRequest, w.request)
	h.Set(HeaderAttempt, strconv.Itoa(w.attempt))
	h.Set(HeaderKind, w.kind.String())
	h.Set(HeaderCaller, w.caller)
	h.Set(HeaderRevision, strconv.FormatInt(w.revision, 10))
	h.Set(HeaderTimeout, strconv.FormatInt(int64(w.timeout), 10))
	h.Set(HeaderPrint, w.fingerprint)
	h.Set(HeaderFrom, w.from)
	h.Set(HeaderLogical, strconv.FormatInt(w.logical, 10))
	if !w.once {
		return
	}
	h.Set(HeaderOnce, "true")
	h.Set(HeaderKey, w.key)
	h.Set(HeaderDispatch, w.dispatch)
}

// ReadWork reads the headers that [Work.Write] wrote.
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
		Once: h.Get(HeaderOnce) == "true", Key: h.Get(HeaderKey), Fingerprint: h.Get(HeaderPrint),
		Dispatch: h.Get(HeaderDispatch), Logical: n.get(HeaderLogical), From: h.Get(HeaderFrom),
	})
	return w, n.err
}

// headerInts reads whole numbers from headers and keeps the first error.
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

// hopByHopHeaders belong to one connection and are never passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeaders copies what may be passed on from one side to the other: all but
// the headers of the connection, our own, the caller's credentials and its
// idempotency key, which travels in a header of ours.
func CopyHeaders(to, from http.Header) {
	for name, values := range from {
		if strings.HasPrefix(name, internalHeaderPrefix) || name == "Authorization" || name == KeyHeader {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
}
