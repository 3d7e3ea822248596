// Package peerrequest is the HTTP protocol by which a gateway hands a client's request off
// to a peer gateway: the client's request with additional headers, and the peer's response
// with headers that tell its own refusals from the responses of workers.
package peerrequest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Headers between gateways.
const (
	headerPrefix  = "Kumquatlug-Handoff-"
	headerFrom    = headerPrefix + "From"
	headerKey     = headerPrefix + "Key"
	headerElapsed = headerPrefix + "Elapsed-Ms"
	headerProof   = headerPrefix + "Proof"
	// headerRan and headerReason are set in the peer's own refusals. headerRan is also the
	// trailer of a response that the peer could not complete.
	headerRan    = "Kumquatlug-Ran"
	headerReason = "Kumquatlug-Reason"
	// headerVersion is the version of the worker that generates the response.
	headerVersion = headerPrefix + "Version"
)

const (
	// maxElapsed bounds the time that a request may have spent at the other gateway;
	// no client waits longer.
	maxElapsed = kumquatlug.Hour
	// IdleTimeout is how long a peer keeps an idle connection.
	IdleTimeout = 30 * kumquatlug.Second
)

// Handoff describes a request that a peer gateway handed off.
type Handoff struct {
	// From is the name of the peer, Key the key of its offer.
	From string
	Key  uint64
	// Elapsed is the time since the request arrived there.
	Elapsed kumquatlug.Millis
	// Proof shows that the request comes from a gateway.
	Proof []byte
}

// RemoveHeaders removes the headers of handed-off requests. A client that sets them must not
// affect anything, and workers don't receive them.
func RemoveHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// Decode decodes and removes the headers of a handed-off request.
func Decode(h http.Header) (Handoff, error) {
	defer RemoveHeaders(h)
	key, err := strconv.ParseUint(h.Get(headerKey), 10, 64)
	if err != nil {
		return Handoff{}, errors.Wrap(err, "key of a handed-off request")
	}
	elapsed, err := strconv.ParseInt(h.Get(headerElapsed), 10, 64)
	if err != nil || elapsed < 0 {
		return Handoff{}, errors.Newf("invalid elapsed time %q of a handed-off request", h.Get(headerElapsed))
	}
	proof, err := hex.DecodeString(h.Get(headerProof))
	if err != nil || len(proof) == 0 || h.Get(headerFrom) == "" {
		return Handoff{}, errors.New("a handed-off request lacks its proof or sender")
	}
	return Handoff{From: h.Get(headerFrom), Key: key, Elapsed: min(kumquatlug.Millis(elapsed), maxElapsed), Proof: proof}, nil
}

// ProofMessage returns the message that the proof of a handed-off request covers. Each
// field is preceded by its length, so that no two requests have the same message.
func ProofMessage(from string, key uint64, r kumquatlug.Request) []byte {
	h := sha256.New()
	// Writes to a hash don't fail.
	_, _ = r.Body().WriteTo(h)
	var message []byte
	for _, field := range []string{
		from, strconv.FormatUint(key, 10), r.ID(), r.Method(), r.Target(), r.Host(), strconv.FormatInt(int64(r.Timeout()), 10), string(h.Sum(nil)),
	} {
		message = binary.AppendUvarint(message, uint64(len(field)))
		message = append(message, field...)
	}
	return message
}
