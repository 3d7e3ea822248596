// Package catchup fetches the operator's config from another gateway if the store is not
// reachable.
//
// The store may reject some gateways while it serves the operator and the others. If a key is
// revoked meanwhile, the gateways that can't read the store would accept it until the store
// serves them again. All messages between gateways therefore carry the sender's config
// version, so that a newer one is detected at no cost. A gateway that does not get the version
// from the store shortly after requests the config text in parts that fit a datagram. Lost
// parts are requested again. The text is used when it is complete, and never replaces a newer
// version.
package catchup

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Parameters of a fetch.
const (
	// storeReadDelay is how long to wait for the store to deliver a version after it was first
	// seen: all gateways read a change within 100 ms of each other.
	storeReadDelay = 250 * kumquatlug.Millis(1)
	// requestTimeout is how long to wait for a response before the request is repeated.
	requestTimeout = 100 * kumquatlug.Millis(1)
	// maxRequests is the number of requests without a response before another gateway is tried.
	maxRequests = 3
	// partBytes is the size of a part; together with its headers it fits a datagram.
	partBytes = 1000
	// partsPerRequest is the maximum number of parts sent per request.
	partsPerRequest = 16
	// maxParts is the maximum number of parts of a text: a row in the store has at most
	// 64 KB, and its larger forms a few times as much.
	maxParts = 1024
)

// Fetcher tracks the newest version and fetches it. It is not safe for concurrent use.
type Fetcher struct {
	// current is the version in use at this gateway.
	current int64
	// newest is the newest version seen, source a gateway that has it, seenAt when the version
	// was first seen.
	newest int64
	source string
	seenAt kumquatlug.Millis
	// requestedAt is the time of the last request to source, requests the number of requests
	// since its last response.
	requestedAt kumquatlug.Millis
	requests    int
	// parts are the received parts of the newest version, nil for the missingParts others.
	parts        [][]byte
	missingParts int
	// receivedParts is the number of new parts received since the last request.
	receivedParts int
}

// SetCurrent sets the version in use at this gateway.
func (f *Fetcher) SetCurrent(version int64) { f.current = max(f.current, version) }

// RecordVersion records the version in use at another gateway.
func (f *Fetcher) RecordVersion(now kumquatlug.Millis, gateway string, version int64) {
	if version <= f.current || version < f.newest {
		return
	}
	if version > f.newest {
		*f = Fetcher{current: f.current, newest: version, seenAt: now}
	}
	if f.source == "" {
		f.source, f.requests, f.requestedAt = gateway, 0, 0
	}
}

// NextRequest returns the gateway and the request to send to it, and whether one is due.
func (f *Fetcher) NextRequest(now kumquatlug.Millis) (string, kumquatlug.ConfigRequest, bool) {
	none := kumquatlug.ConfigRequest{}
	if f.newest <= f.current || f.source == "" || now-f.seenAt < storeReadDelay || f.requests > 0 && now-f.requestedAt < requestTimeout {
		return "", none, false
	}
	if f.requests >= maxRequests {
		// Use the next gateway that announces the version.
		f.source = ""
		return "", none, false
	}
	f.requests++
	f.requestedAt, f.receivedParts = now, 0
	return f.source, kumquatlug.ConfigRequest{Version: f.newest, FirstPart: f.firstMissing()}, true
}

func (f *Fetcher) firstMissing() int {
	for i, part := range f.parts {
		if part == nil {
			return i
		}
	}
	return 0
}

// AddPart records a part of a text, and returns the text if it is complete.
func (f *Fetcher) AddPart(gateway string, p kumquatlug.ConfigPart) ([]byte, bool) {
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
			// All requested parts have arrived: request the next ones at once.
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

// PartsFor returns the parts that answer a request, given the version in use and its text. There
// are none if another version is requested.
func PartsFor(request kumquatlug.ConfigRequest, version int64, text []byte) []kumquatlug.ConfigPart {
	if request.Version != version {
		return nil
	}
	total := (len(text) + partBytes - 1) / partBytes
	if total > maxParts {
		return nil
	}
	var parts []kumquatlug.ConfigPart
	for i := max(request.FirstPart, 0); i < min(total, request.FirstPart+partsPerRequest); i++ {
		end := min((i+1)*partBytes, len(text))
		parts = append(parts, kumquatlug.ConfigPart{Version: version, Part: i, Parts: total, Text: text[i*partBytes : end]})
	}
	return parts
}
