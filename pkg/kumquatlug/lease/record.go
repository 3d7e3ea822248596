package lease

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Limits of a record. No process writes values beyond them: a higher token could not be followed by another one, and a
// longer lease would leave the group without a holder.
const (
	maxFencingToken = FencingToken(1) << 62
	maxTTL          = 10 * kumquatlug.Minute
)

// Record is the content of a group's row.
type Record struct {
	holder       string
	fencingToken FencingToken
	ttl          kumquatlug.Millis
	attempt      string
	released     bool
	handoverDone bool
}

// recordJSON is the stored JSON form of a [Record].
type recordJSON struct {
	Holder   string            `json:"holder"`
	Number   FencingToken      `json:"number"`
	TTL      kumquatlug.Millis `json:"ttl_ms"`
	Attempt  string            `json:"attempt"`
	Released bool              `json:"released,omitempty"`
	Settled  bool              `json:"settled,omitempty"`
}

// Decode decodes a group's row. An absent row yields the zero record. An agent reads
// the fencing token from it before it accepts orders.
func Decode(row kumquatlug.Row) (Record, error) {
	if !row.Exists() {
		return Record{}, nil
	}
	var s recordJSON
	if err := json.Unmarshal(row.Value(), &s); err != nil {
		return Record{}, errors.Wrapf(err, "decode %s", row.Key())
	}
	if s.Number < 0 || s.Number > maxFencingToken || s.TTL < 0 || s.TTL > maxTTL {
		return Record{}, errors.Errorf("decode %s: token %d or TTL %d out of range", row.Key(), s.Number, s.TTL)
	}
	return Record{holder: s.Holder, fencingToken: s.Number, ttl: s.TTL, attempt: s.Attempt, released: s.Released, handoverDone: s.Settled}, nil
}

func (r Record) encode() []byte {
	// Marshalling strings and numbers cannot fail.
	value, _ := json.Marshal(recordJSON{
		Holder: r.holder, Number: r.fencingToken, TTL: r.ttl, Attempt: r.attempt, Released: r.released, Settled: r.handoverDone,
	})
	return value
}

// Holder returns the identity of the process that acquired the lease last.
func (r Record) Holder() string { return r.holder }

// FencingToken returns the fencing token, zero before the first acquisition.
func (r Record) FencingToken() FencingToken { return r.fencingToken }

// MinFencingToken returns the lowest fencing token that orders may carry. Once the lease is
// released this is the token after it, which is at most the next holder's.
func (r Record) MinFencingToken() FencingToken {
	if r.released {
		return r.fencingToken + 1
	}
	return r.fencingToken
}

// Released reports whether the holder released the lease.
func (r Record) Released() bool { return r.released }
