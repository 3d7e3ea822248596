package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Dispatch marks one sending of a call by an entry. The era says how old the
// sending may be, the epoch whether it has been blocked since: a row that was
// freed at a higher epoch refuses it. The zero value is a first sending in the
// first era.
type Dispatch struct {
	era   int64
	epoch int64
}

// NewDispatch returns the mark for an era and an epoch.
func NewDispatch(era, epoch int64) Dispatch {
	return Dispatch{era: era, epoch: epoch}
}

// ParseDispatch reads the form that [Dispatch.String] writes.
func ParseDispatch(text string) (Dispatch, error) {
	left, right, ok := strings.Cut(text, ".")
	if !ok {
		return Dispatch{}, errors.Newf("dispatch %q is not era.epoch", text)
	}
	era, err := parseDispatchNumber(left)
	if err != nil {
		return Dispatch{}, errors.Wrapf(err, "dispatch %q", text)
	}
	epoch, err := parseDispatchNumber(right)
	if err != nil {
		return Dispatch{}, errors.Wrapf(err, "dispatch %q", text)
	}
	return Dispatch{era: era, epoch: epoch}, nil
}

// parseDispatchNumber reads an era or an epoch. The bound is far above any that comes
// about, and keeps a block of a garbled dispatch from overflowing to an epoch
// below zero, which would block nothing.
func parseDispatchNumber(text string) (int64, error) {
	n, err := strconv.ParseUint(text, 10, 32)
	return int64(n), err
}

// String returns the mark as "era.epoch", for a header.
func (d Dispatch) String() string { return fmt.Sprintf("%d.%d", d.era, d.epoch) }

// Era returns the era in which the entry sent the call.
func (d Dispatch) Era() int64 { return d.era }

// Epoch returns the epoch under which the call may be claimed.
func (d Dispatch) Epoch() int64 { return d.epoch }

// Call is a call that may not be repeated, as far as its ledger needs it.
type Call struct {
	id       string
	body     string
	dispatch Dispatch
}

// CallConfig is what a [Call] is made of.
type CallConfig struct {
	// Caller is the account that sent the call.
	Caller string
	// Key is the caller's idempotency key.
	Key string
	// Body is a hash of all that makes the call what it is: kind, method, path
	// and body. Another hash under the same key is a conflict.
	Body string
	// Dispatch is the mark that the call was sent with.
	Dispatch Dispatch
}

// NewCall returns the call that c describes.
func NewCall(c CallConfig) Call {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d/%s%s", len(c.Caller), c.Caller, c.Key))
	return Call{id: hex.EncodeToString(sum[:16]), body: c.Body, dispatch: c.Dispatch}
}

// ID returns the name of the call's row: 128 bits of a hash over caller and
// key, so that one account can't reach another's rows by a crafted key.
func (c Call) ID() string { return c.id }

// Body returns the hash of what the call asks.
func (c Call) Body() string { return c.body }

// Dispatch returns the mark that the call was sent with.
func (c Call) Dispatch() Dispatch { return c.dispatch }

// Outcome is what a run answered, kept for resends of its call.
type Outcome struct {
	status int
	header http.Header
	body   []byte
	object string
}

// NewOutcome returns an outcome; header and body must not be changed later.
func NewOutcome(status int, header http.Header, body []byte) Outcome {
	return Outcome{status: status, header: header, body: body}
}

// Status returns the HTTP status of the answer.
func (o Outcome) Status() int { return o.status }

// Header returns the headers of the answer.
func (o Outcome) Header() http.Header { return o.header }

// Body returns the whole body of the answer.
func (o Outcome) Body() []byte { return o.body }

// Holder is the process that claimed a call.
type Holder struct {
	target      string
	incarnation string
}

// Target returns the name of the target that the process stands beside.
func (h Holder) Target() string { return h.target }

// Incarnation returns which start of the process it is.
func (h Holder) Incarnation() string { return h.incarnation }

// state is what a row says of its call.
type state string

const (
	// stateFree: nothing ran; only a dispatch of at least this epoch may claim.
	stateFree state = "free"
	// stateClaimed: the holder runs it, or died with it.
	stateClaimed state = "claimed"
	// stateDone: it ran and this is the answer.
	stateDone state = "done"
	// stateUnknown: whether it ran can't be known; it is never run again.
	stateUnknown state = "unknown"
)

// row is the stored form of a call.
type row struct {
	State       state       `json:"state"`
	Epoch       int64       `json:"epoch,omitempty"`
	Claim       string      `json:"claim,omitempty"`
	Body        string      `json:"body,omitempty"`
	Target      string      `json:"target,omitempty"`
	Incarnation string      `json:"incarnation,omitempty"`
	Status      int         `json:"status,omitempty"`
	Header      http.Header `json:"header,omitempty"`
	Answer      []byte      `json:"answer,omitempty"`
	Object      string      `json:"object,omitempty"`
}

func (r row) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode a row"))
	}
	return value
}

func (r row) outcome() Outcome {
	return Outcome{status: r.Status, header: r.Header, body: r.Answer, object: r.Object}
}

// decodeRow reads a stored row. What can't be read may stand for a run, so it
// counts as unknown: the call is then never run.
func decodeRow(value []byte) row {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return row{State: stateUnknown}
	}
	return r
}

const (
	rowPrefix = "claims/"
	eraKey    = "claims-era"
	clockKey  = "claims-clock"
)

func eraPrefix(era int64) string { return fmt.Sprintf("%s%016x/", rowPrefix, era) }

func rowKey(era int64, id string) string { return eraPrefix(era) + id }

func parseNumber(r kumquatlug.Row) (int64, error) {
	if !r.Exists() {
		return 0, nil
	}
	n, err := strconv.ParseInt(string(r.Value()), 10, 64)
	return n, errors.Wrapf(err, "row %q", r.Key())
}

func formatNumber(n int64) []byte { return strconv.AppendInt(nil, n, 10) }
