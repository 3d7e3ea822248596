package engine

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Stamp is the token of an engine that was told to stamp: when it took the
// request and when it wrote the token. Reader and engine share one machine's
// clock, so that the two spans on the way can be told apart from the engine's
// own time, which varies by more than what is to be measured.
type Stamp struct {
	arrived int64
	written int64
}

// NewStamp returns the stamp of two times, kept in microseconds.
func NewStamp(arrived, written time.Time) Stamp {
	return Stamp{arrived: arrived.UnixMicro(), written: written.UnixMicro()}
}

// ReadStamp reads what [Stamp.String] wrote.
func ReadStamp(token string) (Stamp, error) {
	left, right, ok := strings.Cut(strings.TrimPrefix(token, " "), "+")
	if !ok {
		return Stamp{}, errors.Newf("%q is no stamp", token)
	}
	arrived, err := strconv.ParseInt(left, 10, 64)
	if err != nil {
		return Stamp{}, errors.Wrap(err, "read stamp")
	}
	elapsed, err := strconv.ParseInt(right, 10, 64)
	return Stamp{arrived: arrived, written: arrived + elapsed}, errors.Wrap(err, "read stamp")
}

// String returns the stamp as a token.
func (s Stamp) String() string {
	return " " + strconv.FormatInt(s.arrived, 10) + "+" + strconv.FormatInt(s.written-s.arrived, 10)
}

// Arrived returns when the engine took the request.
func (s Stamp) Arrived() time.Time { return time.UnixMicro(s.arrived) }

// Written returns when the engine wrote the token.
func (s Stamp) Written() time.Time { return time.UnixMicro(s.written) }
