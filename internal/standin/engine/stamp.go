package engine

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Stamp is the token that an engine with Config.StampTokens sends: when it received
// the request and when it wrote the token. The client and the engine share one
// machine's clock, so that the latency on the way to and from the engine can be
// separated from the engine's own time, which varies by more than the latency
// to be measured.
type Stamp struct {
	arrived int64
	written int64
}

// NewStamp returns a stamp of two times, truncated to microseconds.
func NewStamp(arrived, written time.Time) Stamp {
	return Stamp{arrived: arrived.UnixMicro(), written: written.UnixMicro()}
}

// ParseStamp parses the output of [Stamp.String]. It returns an error if token
// has another format.
func ParseStamp(token string) (Stamp, error) {
	left, right, ok := strings.Cut(strings.TrimPrefix(token, " "), "+")
	if !ok {
		return Stamp{}, errors.Newf("token %q is not a stamp", token)
	}
	arrived, err := strconv.ParseInt(left, 10, 64)
	if err != nil {
		return Stamp{}, errors.Wrap(err, "parse stamp")
	}
	elapsed, err := strconv.ParseInt(right, 10, 64)
	return Stamp{arrived: arrived, written: arrived + elapsed}, errors.Wrap(err, "parse stamp")
}

// String returns the stamp as a token.
func (s Stamp) String() string {
	return " " + strconv.FormatInt(s.arrived, 10) + "+" + strconv.FormatInt(s.written-s.arrived, 10)
}

// Arrived returns when the engine received the request.
func (s Stamp) Arrived() time.Time { return time.UnixMicro(s.arrived) }

// Written returns when the engine wrote the token.
func (s Stamp) Written() time.Time { return time.UnixMicro(s.written) }
