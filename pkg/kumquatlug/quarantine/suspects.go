package quarantine

import (
	"cmp"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// SuspectsConfig is what [Suspects] are made of. The zero value of each field
// stands for its default.
type SuspectsConfig struct {
	// Limit is after how many crashes a request is refused. Default 3: a request
	// whose answer was lost twice by chance still has another try, and one that
	// ends its worker each time takes three down.
	Limit int
	// Period is how long a crash counts. Default 1 min: a client's program that
	// tries again does so within seconds, and a wrong refusal ends soon.
	Period kumquatlug.Millis
	// Most bounds the requests that are remembered. Default 4,096: at 200 bytes
	// each 0.8 MB.
	Most int
}

// Suspects counts the crashes of each request for a front that calls targets
// directly. No agent sees there which requests were in hand at a crash, so that
// a connection that ends without an answer is all that shows; a [Register], which
// knows neighbours, is more exact.
//
// It answers the request that ends each worker that runs it. Tried again by its
// front and sent again by its client, through every front in turn, it takes a
// whole group down. What one front sees is therefore told to the others.
//
// Suspects belong to one owner and are not safe for concurrent use.
type Suspects struct {
	config  SuspectsConfig
	reports map[Fingerprint][]crashReport
}

// crashReport is one crash, by the name under which it was told.
type crashReport struct {
	id string
	at kumquatlug.Millis
}

// NewSuspects returns a count without crashes.
func NewSuspects(c SuspectsConfig) *Suspects {
	c.Limit = cmp.Or(c.Limit, 3)
	c.Period = cmp.Or(c.Period, kumquatlug.Minute)
	c.Most = cmp.Or(c.Most, 4096)
	return &Suspects{config: c, reports: map[Fingerprint][]crashReport{}}
}

// Any reports whether there is any suspect, so that a front need not take the
// fingerprint of each request.
func (s *Suspects) Any() bool { return len(s.reports) > 0 }

// Crashed records a crash under a name of its own; told again, it counts once.
func (s *Suspects) Crashed(now kumquatlug.Millis, f Fingerprint, name string) {
	for _, seen := range s.reports[f] {
		if seen.id == name {
			return
		}
	}
	if len(s.reports) >= s.config.Most {
		s.Forget(now)
	}
	if len(s.reports) < s.config.Most || s.reports[f] != nil {
		s.reports[f] = append(s.reports[f], crashReport{id: name, at: now})
	}
}

// Refused reports that a request has had its number of crashes.
func (s *Suspects) Refused(now kumquatlug.Millis, f Fingerprint) bool {
	n := 0
	for _, seen := range s.reports[f] {
		if now-seen.at < s.config.Period {
			n++
		}
	}
	return n >= s.config.Limit
}

// Forget drops the requests whose crashes no longer count.
func (s *Suspects) Forget(now kumquatlug.Millis) {
	for f, all := range s.reports {
		if now-all[len(all)-1].at >= s.config.Period {
			delete(s.reports, f)
		}
	}
}
