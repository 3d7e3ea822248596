package quarantine

import (
	"cmp"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// CrashCounterConfig configures [CrashCounter]. The zero value of each field selects
// its default.
type CrashCounterConfig struct {
	// Limit is the number of crashes after which a request is refused. Default
	// 3: a request whose response was lost twice by chance has another try, and
	// one that crashes its worker each time crashes three.
	Limit int
	// Retention is how long a crash counts, in milliseconds. Default 1 min: a
	// client's program retries within seconds, and a wrong refusal ends soon.
	Retention kumquatlug.Millis
	// MaxRequests is the maximum number of requests remembered. Default 4,096: 0.8 MB
	// at 200 bytes each.
	MaxRequests int
}

// CrashCounter counts the crashes of each request for a gateway that calls targets
// directly. There is no agent that records which requests were in flight at a
// crash, so the only evidence is a connection that ends without a response; a
// [Registry], which records the neighbours, is more exact.
//
// It contains the damage of a request that crashes each worker that runs it.
// Retried by its gateway and sent again by its client, through every gateway in
// turn, such a request crashes a whole group. Each gateway therefore reports
// its crashes to the others.
//
// A CrashCounter is not safe for concurrent use.
type CrashCounter struct {
	config  CrashCounterConfig
	reports map[Fingerprint][]crashReport
}

// crashReport is one crash, identified by the id of its report.
type crashReport struct {
	id string
	at kumquatlug.Millis
}

// NewCrashCounter returns a counter without crashes.
func NewCrashCounter(c CrashCounterConfig) *CrashCounter {
	c.Limit = cmp.Or(c.Limit, 3)
	c.Retention = cmp.Or(c.Retention, kumquatlug.Minute)
	c.MaxRequests = cmp.Or(c.MaxRequests, 4096)
	return &CrashCounter{config: c, reports: map[Fingerprint][]crashReport{}}
}

// HasCrashes reports whether any crash is counted. If not, a gateway need not
// compute the fingerprint of each request.
func (s *CrashCounter) HasCrashes() bool { return len(s.reports) > 0 }

// Crashed records a crash of f under a unique name. A repeated report of the
// same name counts once.
func (s *CrashCounter) Crashed(now kumquatlug.Millis, f Fingerprint, name string) {
	for _, seen := range s.reports[f] {
		if seen.id == name {
			return
		}
	}
	if len(s.reports) >= s.config.MaxRequests {
		s.RemoveExpired(now)
	}
	if len(s.reports) < s.config.MaxRequests || s.reports[f] != nil {
		s.reports[f] = append(s.reports[f], crashReport{id: name, at: now})
	}
}

// Count returns the number of crashes recorded for f, expired ones included.
func (s *CrashCounter) Count(f Fingerprint) int { return len(s.reports[f]) }

// Refused reports whether a request has reached the limit of crashes.
func (s *CrashCounter) Refused(now kumquatlug.Millis, f Fingerprint) bool {
	n := 0
	for _, seen := range s.reports[f] {
		if now-seen.at < s.config.Retention {
			n++
		}
	}
	return n >= s.config.Limit
}

// RemoveExpired removes the requests whose crashes no longer count.
func (s *CrashCounter) RemoveExpired(now kumquatlug.Millis) {
	for f, all := range s.reports {
		if now-all[len(all)-1].at >= s.config.Retention {
			delete(s.reports, f)
		}
	}
}
