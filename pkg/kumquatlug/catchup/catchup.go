// Package catchup decides how a front takes the operator's config from another front.
//
// It answers a store that turns some fronts away while it serves the operator and the
// others: a key is taken away, and the fronts that can't read the store would serve its
// client for as long as that lasts. Whatever fronts say to each other names the
// version that the sender has in force, so that hearing of a newer one costs nothing.
// A front that does not have it from the store a moment later asks for the text, in
// parts that fit a datagram. A part that is lost is asked for again; a text is taken
// when it is whole, and replaces nothing that is newer.
package catchup

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Figures of catching up.
const (
	// storeReadDelay is how long the store has to bring a version that was heard of: fronts
	// learn of changes within a tenth of a second of each other.
	storeReadDelay = 250 * kumquatlug.Millis(1)
	// requestTimeout is how long a front that was asked has until it is asked again.
	requestTimeout = 100 * kumquatlug.Millis(1)
	// maxRequests is how often it is asked without an answer.
	maxRequests = 3
	// partBytes is the length of a part of a text; it fits a datagram with what goes
	// round it.
	partBytes = 1000
	// partsPerRequest is how many parts answer one question.
	partsPerRequest = 16
	// maxParts bounds the parts of a text: the store's rows have 64 KB, and a few
	// times that in larger forms.
	maxParts = 1024
)

// Fetch follows which version is newest and fetches it. It is not safe for concurrent
// use.
type Fetch struct {
	// current is the version in force here.
	current int64
	// newest is the newest version heard of, from who has it, heardAt when it was first.
	newest int64
	source string
	seenAt kumquatlug.Millis
	// requestedAt is when from was asked last, asks how often without an answer.
	requestedAt kumquatlug.Millis
	requests    int
	// parts are what has come of the newest version's text, left how many are missing.
	parts        [][]byte
	missingParts int
	// receivedParts counts the parts that came since the last question.
	receivedParts int
}

// Have takes the version that is in force here.
func (f *Fetch) Have(version int64) { f.current = max(f.current, version) }

// Heard takes that a front has a version in force.
func (f *Fetch) Heard(now kumquatlug.Millis, gateway string, version int64) {
	if version <= f.current || version < f.newest {
		return
	}
	if version > f.newest {
		*f = Fetch{current: f.current, newest: version, seenAt: now}
	}
	if f.source == "" {
		f.source, f.requests, f.requestedAt = gateway, 0, 0
	}
}

// Next returns which front is to be asked for what now, and whether one is.
func (f *Fetch) Next(now kumquatlug.Millis) (string, kumquatlug.ConfigAsk, bool) {
	none := kumquatlug.ConfigAsk{}
	if f.newest <= f.current || f.source == "" || now-f.seenAt < storeReadDelay || f.requests > 0 && now-f.requestedAt < requestTimeout {
		return "", none, false
	}
	if f.requests >= maxRequests {
		// Another front that names the version is asked.
		f.source = ""
		return "", none, false
	}
	f.requests++
	f.requestedAt, f.receivedParts = now, 0
	return f.source, kumquatlug.ConfigAsk{Version: f.newest, First: f.firstMissing()}, true
}

func (f *Fetch) firstMissing() int {
	for i, part := range f.parts {
		if part == nil {
			return i
		}
	}
	return 0
}

// Took takes a part of a text and returns the text when it is whole.
func (f *Fetch) Took(gateway string, p kumquatlug.ConfigPart) ([]byte, bool) {
	switch {
	case gateway != f.source || p.Version != f.newest || p.Version <= f.current:
		return nil, false
	case p.Parts <= 0 || p.Parts > maxParts || p.Part < 0 || p.Part >= p.Parts || len(p.Text) == 0:
		return nil, false
	}
	if len(f.parts) != p.Parts {
		f.parts, f.missingParts = make([][]byte, p.Parts), p.Parts
	}
	f.requests = 1
	if f.parts[p.Part] == nil {
		f.parts[p.Part] = p.Text
		f.missingParts--
		f.receivedParts++
	}
	if f.missingParts > 0 {
		if f.receivedParts == partsPerRequest {
			// The whole answer is here: what follows is asked for at once.
			f.requests = 0
		}
		return nil, false
	}
	var text []byte
	for _, part := range f.parts {
		text = append(text, part...)
	}
	return text, true
}

// Answer returns the parts that answer a question, of the text of the version in force
// here; none where that is another version.
func Answer(request kumquatlug.ConfigAsk, version int64, text []byte) []kumquatlug.ConfigPart {
	if request.Version != version {
		return nil
	}
	total := (len(text) + partBytes - 1) / partBytes
	if total > maxParts {
		return nil
	}
	var parts []kumquatlug.ConfigPart
	for i := max(request.First, 0); i < min(total, request.First+partsPerRequest); i++ {
		end := min((i+1)*partBytes, len(text))
		parts = append(parts, kumquatlug.ConfigPart{Version: version, Part: i, Parts: total, Text: text[i*partBytes : end]})
	}
	return parts
}
