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

// agentRequest is what one attempt sends to an agent.
type agentRequest struct {
	method string
	path   string
	header http.Header
	body   []byte
	// idempotencyKey and mark name the run-once claim of a call that may not be
	// repeated.
	idempotencyKey string
	dispatchID     string
	// kvHandle names the KV cache of the prompt at the engine that ran it.
	kvHandle string
}

// refusal is an agent's refusal, with the run-once mark under which the call
// may be sent again and what the agent told of a crash, if it did.
type refusal struct {
	failure    *kumquatlug.Failure
	dispatchID string
	notices    []quarantine.Notice
}

// attemptFailure is the refusal as the loop takes it.
func (r *refusal) attemptFailure() dispatch.Failed {
	return dispatch.Failed{
		Failure: r.failure, Refused: isAgentRefusal(r.failure), Notices: r.notices,
		Final: isPermanent(r.failure),
	}
}

// isPermanent reports whether no other target would fare better: the request itself
// is at fault, or the platform is out, which concerns all targets alike. Tried
// on, a posting was refused after seven seconds and sixteen tries.
func isPermanent(f *kumquatlug.Failure) bool {
	return f.Status() < http.StatusInternalServerError ||
		f.Reason() == ledger.ReasonTable || f.Reason() == ledger.ReasonObjects
}

// noticesFrom reads what an agent told of a crash in h.
func noticesFrom(h http.Header) []quarantine.Notice {
	text := h.Get(peer.HeaderNotice)
	if text == "" {
		return nil
	}
	return peer.NoticesFrom([]string{text})
}

// send makes one attempt that ends with ctx. It returns the agent's answer,
// whose body the caller closes, or a refusal.
func (r *request) send(ctx context.Context, a dispatch.Attempt, o agentRequest) (*http.Response, *refusal) {
	e := r.entry
	httpRequest, err := http.NewRequestWithContext(ctx, o.method, e.dialer.WorkURL(a.Address(), o.path), bytes.NewReader(o.body))
	if err != nil {
		return nil, r.sendFailure(a, "bad_request", kumquatlug.RanNot, err)
	}
	peer.CopyHeaders(httpRequest.Header, o.header)
	r.newWork(a, o).Write(httpRequest.Header)
	if o.kvHandle != "" {
		httpRequest.Header.Set(peer.HeaderKV, o.kvHandle)
	}
	if notice, suspect := a.Notice(); suspect {
		httpRequest.Header[peer.HeaderNotice] = peer.NoticesTo([]quarantine.Notice{notice})
	}
	response, err := e.dialer.Work().Do(httpRequest)
	if err != nil {
		return nil, r.sendFailure(a, reasonUnreachable, ranAfterSendError(err), err)
	}
	e.cfg.Ring.Witness(peer.Number(response.Header, peer.HeaderLogical))
	e.follower.Learned(peer.RoleAgent, a.Address(), peer.Number(response.Header, peer.HeaderRevision), config.AgeUnknown)
	if peer.Refused(response) {
		defer response.Body.Close()
		f, mark := peer.ReadFailure(response)
		return nil, &refusal{failure: f, dispatchID: mark, notices: noticesFrom(response.Header)}
	}
	return response, nil
}

func (r *request) newWork(a dispatch.Attempt, o agentRequest) peer.Work {
	logical := r.record(timeline.Sent, a.Target(), "attempt "+strconv.Itoa(a.Number()))
	return peer.NewWork(peer.WorkConfig{
		Request: r.id, Attempt: a.Number(), Kind: r.kind, Caller: r.account.Name(), Revision: int64(a.Revision()),
		Timeout: r.deadline - r.entry.cfg.Clock.Now(), Once: o.idempotencyKey != "", Key: o.idempotencyKey, Dispatch: o.dispatchID,
		Fingerprint: string(r.fingerprint), Logical: logical, From: r.entry.address,
	})
}

func (r *request) sendFailure(a dispatch.Attempt, reason string, ran kumquatlug.Ran, cause error) *refusal {
	return &refusal{failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "send work", Peer: a.Target(), Reason: reason, Ran: ran, Status: http.StatusBadGateway, Cause: cause,
	})}
}

// ranAfterSendError says what an error on the way to an agent leaves open: only a
// connection that was never made proves that nothing arrived.
func ranAfterSendError(err error) kumquatlug.Ran {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return kumquatlug.RanNot
	}
	return kumquatlug.RanUnknown
}

// verifiedBody reads an agent's answer to its end and fails when the trailer does
// not say that it was whole.
type verifiedBody struct {
	response *http.Response
}

// Read reads on; the end of a body that is not whole is an error.
func (b verifiedBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if errors.Is(err, io.EOF) && b.response.Trailer.Get(peer.TrailerEnd) != peer.EndWhole {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Close closes the agent's answer.
func (b verifiedBody) Close() error { return b.response.Body.Close() }

// Figures of prefix keys.
const (
	// prefixBlockBytes is how many bytes of a prompt one key covers: 256 tokens.
	prefixBlockBytes = 1024
	// maxPrefixes bounds the keys of a prompt; see routing.Query.
	maxPrefixes = 32
)

// prefixKeys returns a key for each whole block of the prompt, over everything
// up to and with it. Engines name the blocks in their cache in the same way.
func prefixKeys(prompt string) []uint64 {
	count := min(len(prompt)/prefixBlockBytes, maxPrefixes)
	keys := make([]uint64, 0, count)
	d := xxhash.New()
	for i := range count {
		_, _ = d.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		keys = append(keys, d.Sum64())
	}
	return keys
}
