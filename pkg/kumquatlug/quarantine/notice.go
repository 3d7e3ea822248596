package quarantine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Notice is the state of one fingerprint as exchanged between registries.
type Notice struct {
	fingerprint Fingerprint
	marks       []crashMark
	proven      bool
	remaining   kumquatlug.Millis
}

// Fingerprint returns the fingerprint that the notice is about.
func (n Notice) Fingerprint() Fingerprint { return n.fingerprint }

// Proven reports whether the request is proven to have crashed a target.
func (n Notice) Proven() bool { return n.proven }

// Remaining returns the remaining lifetime of the record when the notice was
// made, in milliseconds.
func (n Notice) Remaining() kumquatlug.Millis { return n.remaining }

// noticeJSON and crashMarkJSON are the JSON encoding of a notice. They hold
// ages and remaining times, because the clocks of two nodes are not comparable.
type noticeJSON struct {
	Fingerprint Fingerprint       `json:"f"`
	Marks       []crashMarkJSON   `json:"m"`
	Proven      bool              `json:"p,omitempty"`
	Remaining   kumquatlug.Millis `json:"r"`
}

type crashMarkJSON struct {
	Target      string            `json:"t"`
	Incarnation string            `json:"i"`
	Starting    bool              `json:"s,omitempty"`
	Cleared     bool              `json:"c,omitempty"`
	Age         kumquatlug.Millis `json:"a"`
}

// MarshalText returns the notice as JSON.
func (n Notice) MarshalText() ([]byte, error) {
	j := noticeJSON{Fingerprint: n.fingerprint, Proven: n.proven, Remaining: n.remaining}
	for _, m := range n.marks {
		j.Marks = append(j.Marks, crashMarkJSON{
			Target: m.crash.target, Incarnation: m.crash.incarnation,
			Starting: m.starting, Cleared: m.cleared, Age: m.at,
		})
	}
	text, err := json.Marshal(j)
	return text, errors.Wrap(err, "encode quarantine notice")
}

// UnmarshalText parses the output of MarshalText. It returns an error for
// malformed JSON and for a notice without a fingerprint.
func (n *Notice) UnmarshalText(text []byte) error {
	var j noticeJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return errors.Wrap(err, "parse quarantine notice")
	}
	if j.Fingerprint == "" {
		return errors.New("parse quarantine notice: fingerprint is missing")
	}
	*n = Notice{fingerprint: j.Fingerprint, proven: j.Proven, remaining: j.Remaining}
	for _, m := range j.Marks {
		n.marks = append(n.marks, crashMark{
			crash: NewCrash(m.Target, m.Incarnation), starting: m.Starting, cleared: m.Cleared, at: m.Age,
		})
	}
	return nil
}

// NoticesSince returns notices of all records that changed after a version, and the
// version to pass next time; zero returns all. A peer that is up to date
// receives nothing until something changes, so that gossip is free while
// nothing crashes.
func (r *Registry) NoticesSince(now kumquatlug.Millis, after int64) ([]Notice, int64) {
	var notices []Notice
	for _, f := range r.sortedFingerprints() {
		rec := r.records[f]
		if rec.changedVersion <= after || rec.expiresAt <= now {
			continue
		}
		notices = append(notices, r.newNotice(now, f, rec))
	}
	return notices, r.version
}

// Notice returns the notice of one fingerprint, and reports false if there is
// none. A gateway sends it along with a suspect, so that the agent isolates the
// call even if no heartbeat has delivered the notice yet.
func (r *Registry) Notice(now kumquatlug.Millis, f Fingerprint) (Notice, bool) {
	rec, ok := r.records[f]
	if !ok || rec.expiresAt <= now {
		return Notice{}, false
	}
	return r.newNotice(now, f, rec), true
}

// newNotice converts the times of the marks to ages.
func (r *Registry) newNotice(now kumquatlug.Millis, f Fingerprint, rec *record) Notice {
	n := Notice{fingerprint: f, proven: rec.proven, remaining: rec.expiresAt - now}
	for _, m := range rec.marks {
		m.at = now - m.at
		n.marks = append(n.marks, m)
	}
	return n
}

// Merge merges notices of another registry. Crashes are merged as sets, and
// marks stay cleared and records proven once they are; the order of merges does
// not matter.
func (r *Registry) Merge(now kumquatlug.Millis, notices []Notice) {
	for _, n := range notices {
		if n.remaining <= 0 {
			continue
		}
		r.mergeNotice(now, n)
	}
	for _, n := range notices {
		r.applyProof(now, n.fingerprint)
	}
	r.evictRecords(now)
}

func (r *Registry) mergeNotice(now kumquatlug.Millis, n Notice) {
	rec := r.record(now, n.fingerprint)
	for _, m := range n.marks {
		m.at = now - m.at
		r.addMark(now, rec, m)
	}
	if n.proven && !rec.proven {
		rec.proven = true
		r.markChanged(now, rec)
	}
	r.extend(now, rec, now+min(n.remaining, r.config.Retention))
}
