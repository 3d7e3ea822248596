package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ledger"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// Reasons of failures that speak against a target.
const (
	reasonUnreachable  = dispatch.ReasonUnreachable
	reasonTargetFailed = "target_failed"
)

// outgoing is what one attempt sends to an agent.
type outgoing struct {
	method string
	path   string
	header http.Header
	body   []byte
	// onceKey and mark name the run-once claim of a call that may not be
	// repeated.
	onceKey string
	mark    string
	// handle names the KV cache of the prompt at the engine that ran it.
	handle string
}

// refusal is an agent's refusal, with the run-once mark under which the call
// may be sent again and what the agent told of a crash, if it did.
type refusal struct {
	failure *kumquatlug.Failure
	mark    string
	notices []quarantine.Notice
}

// failed is the refusal as the loop takes it.
func (r *refusal) failed() dispatch.Failed {
	return dispatch.Failed{
		Failure: r.failure, Refused: beforeStart(r.failure), Notices: r.notices,
		Final: final(r.failure),
	}
}

// final reports whether no other target would fare better: the request itself
// is at fault, or the platform is out, which concerns all targets alike. Tried
// on, a posting was refused after seven seconds and sixteen tries.
func final(f *kumquatlug.Failure) bool {
	return f.Status() < http.StatusInternalServerError ||
		f.Reason() == ledger.ReasonTable || f.Reason() == ledger.ReasonObjects
}

// noticesOf reads what an agent told of a crash in h.
func noticesOf(h http.Header) []quarantine.Notice {
	text := h.Get(peer.HeaderNotice)
	if text == "" {
		return nil
	}
	return peer.NoticesFrom([]string{text})
}

// send makes one attempt that ends with ctx. It returns the agent's answer,
// whose body the caller closes, or a refusal.
func (r *request) send(ctx context.Context, a dispatch.Attempt, o outgoing) (*http.Response, *refusal) {
	e := r.entry
	message, err := http.NewRequestWithContext(ctx, o.method, e.dialer.WorkURL(a.Address(), o.path), bytes.NewReader(o.body))
	if err != nil {
		return nil, r.failedToSend(a, "bad_request", kumquatlug.RanNot, err)
	}
	peer.CopyHeaders(message.Header, o.header)
	r.work(a, o).Write(message.Header)
	if o.handle != "" {
		message.Header.Set(peer.HeaderKV, o.handle)
	}
	if notice, suspect := a.Notice(); suspect {
		message.Header[peer.HeaderNotice] = peer.NoticesTo([]quarantine.Notice{notice})
	}
	answer, err := e.dialer.Work().Do(message)
	if err != nil {
		return nil, r.failedToSend(a, reasonUnreachable, ranAfter(err), err)
	}
	e.c.Ring.Witness(peer.Number(answer.Header, peer.HeaderLogical))
	e.follower.Learned(peer.RoleAgent, a.Address(), peer.Number(answer.Header, peer.HeaderRevision), config.AgeUnknown)
	if peer.Refused(answer) {
		defer answer.Body.Close()
		f, mark := peer.ReadFailure(answer)
		return nil, &refusal{failure: f, mark: mark, notices: noticesOf(answer.Header)}
	}
	return answer, nil
}

func (r *request) work(a dispatch.Attempt, o outgoing) peer.Work {
	logical := r.note(timeline.Sent, a.Target(), "attempt "+strconv.Itoa(a.Number()))
	return peer.NewWork(peer.WorkConfig{
		Request: r.id, Attempt: a.Number(), Kind: r.kind, Caller: r.account.Name(), Revision: int64(a.Revision()),
		Timeout: r.deadline - r.entry.c.Clock.Now(), Once: o.onceKey != "", Key: o.onceKey, Dispatch: o.mark,
		Fingerprint: string(r.print), Logical: logical, From: r.entry.address,
	})
}

func (r *request) failedToSend(a dispatch.Attempt, reason string, ran kumquatlug.Ran, cause error) *refusal {
	return &refusal{failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "send work", Peer: a.Target(), Reason: reason, Ran: ran, Status: http.StatusBadGateway, Cause: cause,
	})}
}

// ranAfter says what an error on the way to an agent leaves open: only a
// connection that was never made proves that nothing arrived.
func ranAfter(err error) kumquatlug.Ran {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return kumquatlug.RanNot
	}
	return kumquatlug.RanUnknown
}

// wholeBody reads an agent's answer to its end and fails when the trailer does
// not say that it was whole.
type wholeBody struct {
	answer *http.Response
}

// Read reads on; the end of a body that is not whole is an error.
func (b wholeBody) Read(p []byte) (int, error) {
	n, err := b.answer.Body.Read(p)
	if errors.Is(err, io.EOF) && b.answer.Trailer.Get(peer.TrailerEnd) != peer.EndWhole {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Close closes the agent's answer.
func (b wholeBody) Close() error { return b.answer.Body.Close() }

// Figures of prefix keys.
const (
	// prefixBlock is how many bytes of a prompt one key covers: 256 tokens.
	prefixBlock = 1024
	// maxPrefixes bounds the keys of a prompt; see routing.Query.
	maxPrefixes = 32
)

// prefixKeys returns a key for each whole block of the prompt, over everything
// up to and with it. Engines name the blocks in their cache in the same way.
func prefixKeys(prompt string) []uint64 {
	count := min(len(prompt)/prefixBlock, maxPrefixes)
	keys := make([]uint64, 0, count)
	d := xxhash.New()
	for i := range count {
		_, _ = d.WriteString(prompt[i*prefixBlock : (i+1)*prefixBlock])
		keys = append(keys, d.Sum64())
	}
	return keys
}
