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

// Dispatch identifies one attempt of a gateway to send a call. The era limits
// its age, and the epoch shows whether it has been blocked since: a row that
// was freed at a higher epoch refuses it. The zero value is a first attempt in
// the first era.
type Dispatch struct {
	era   int64
	epoch int64
}

// NewDispatch returns the dispatch of an era and an epoch.
func NewDispatch(era, epoch int64) Dispatch {
	return Dispatch{era: era, epoch: epoch}
}

// ParseDispatch parses the format of [Dispatch.String]. It returns an error if
// text is not two numbers in the range of uint32, separated by a dot.
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

// parseDispatchNumber parses an era or an epoch. The limit of 32 bits is far
// above any real value, and keeps a block of a malformed dispatch from
// overflowing to a negative epoch, which would block nothing.
func parseDispatchNumber(text string) (int64, error) {
	n, err := strconv.ParseUint(text, 10, 32)
	return int64(n), err
}

// String returns the dispatch as "era.epoch", for a header.
func (d Dispatch) String() string { return fmt.Sprintf("%d.%d", d.era, d.epoch) }

// Era returns the era in which the gateway first sent the call.
func (d Dispatch) Era() int64 { return d.era }

// Epoch returns the epoch under which the call may be claimed.
func (d Dispatch) Epoch() int64 { return d.epoch }

// Call identifies a non-idempotent call to the ledger.
type Call struct {
	id          string
	fingerprint string
	dispatch    Dispatch
}

// CallConfig configures a [Call].
type CallConfig struct {
	// Caller is the account that sent the call.
	Caller string
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint is a hash of everything that identifies the operation: kind, method,
	// path and body. A different hash under the same key is a conflict.
	Fingerprint string
	// Dispatch is the dispatch that the call was sent with.
	Dispatch Dispatch
}

// NewCall returns the call that c describes.
func NewCall(c CallConfig) Call {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d/%s%s", len(c.Caller), c.Caller, c.Key))
	return Call{id: hex.EncodeToString(sum[:16]), fingerprint: c.Fingerprint, dispatch: c.Dispatch}
}

// ID returns the id of the call's row: 128 bits of a hash of caller and key, so
// that no account can reach another's rows with a crafted key.
func (c Call) ID() string { return c.id }

// Fingerprint returns the hash of the operation that the call requests.
func (c Call) Fingerprint() string { return c.fingerprint }

// Dispatch returns the dispatch that the call was sent with.
func (c Call) Dispatch() Dispatch { return c.dispatch }

// Outcome is the response of a run, stored for resends of its call.
type Outcome struct {
	status int
	header http.Header
	body   []byte
	object string
}

// NewOutcome returns an outcome. The caller must not modify header or body
// afterwards.
func NewOutcome(status int, header http.Header, body []byte) Outcome {
	return Outcome{status: status, header: header, body: body}
}

// Status returns the HTTP status of the response.
func (o Outcome) Status() int { return o.status }

// Header returns the headers of the response.
func (o Outcome) Header() http.Header { return o.header }

// Body returns the whole body of the response.
func (o Outcome) Body() []byte { return o.body }

// Holder is the process that claimed a call.
type Holder struct {
	target      string
	incarnation string
}

// Target returns the name of the target that the process serves.
func (h Holder) Target() string { return h.target }

// Incarnation returns the identifier of this start of the process.
func (h Holder) Incarnation() string { return h.incarnation }

// state is the state of a call in its row.
type state string

const (
	// stateFree: nothing ran; only a dispatch of at least this epoch may claim.
	stateFree state = "free"
	// stateClaimed: the holder runs it, or crashed while running it.
	stateClaimed state = "claimed"
	// stateDone: it ran and this is the response.
	stateDone state = "done"
	// stateUnknown: whether it ran can't be known; it is never run again.
	stateUnknown state = "unknown"
)

// row is the stored representation of a call.
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

// decodeRow decodes a stored row. A malformed row may record a run, so it
// counts as unknown and the call never runs.
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
