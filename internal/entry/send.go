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

// Reasons of failures that count against a target.
const (
	reasonUnreachable  = dispatch.ReasonUnreachable
	reasonTargetFailed = "target_failed"
	reasonSilent       = dispatch.ReasonSilent
)

// agentRequest is the request that one attempt sends to an agent.
type agentRequest struct {
	method string
	path   string
	header http.Header
	body   []byte
	// idempotencyKey and dispatchID identify the at-most-once claim of a
	// non-idempotent call. Both are empty for other requests.
	idempotencyKey string
	dispatchID     string
	// kvHandle identifies the KV cache of the prompt at the engine that
	// prefilled it.
	kvHandle string
	// announceAdmission asks the agent to announce that it has admitted the request.
	announceAdmission bool
}

// refusal is a failed attempt: an agent's refusal or a failure to reach it.
// dispatchID, if set, is the at-most-once dispatch ID under which the call may
// be resent; notices are the crash notices that the agent sent.
type refusal struct {
	failure    *kumquatlug.Failure
	dispatchID string
	notices    []quarantine.Notice
}

// attemptFailure returns the refusal in the form in which the loop handles it.
func (r *refusal) attemptFailure() dispatch.AttemptFailure {
	return dispatch.AttemptFailure{
		Failure: r.failure, Refused: isAgentRefusal(r.failure), Notices: r.notices,
		Permanent: isPermanent(r.failure),
	}
}

// isPermanent reports whether a retry at another target can't succeed: the
// request itself is at fault, or the platform is unavailable, which affects all
// targets alike. Retrying in the latter case, a call to the posting service was
// refused only after seven seconds and sixteen attempts.
func isPermanent(f *kumquatlug.Failure) bool {
	return f.Status() < http.StatusInternalServerError ||
		f.Reason() == ledger.ReasonTableUnavailable || f.Reason() == ledger.ReasonObjectsUnavailable
}

// noticesFrom returns the crash notice that an agent sent in h, if any.
func noticesFrom(h http.Header) []quarantine.Notice {
	text := h.Get(peer.HeaderNotice)
	if text == "" {
		return nil
	}
	return peer.DecodeNotices([]string{text})
}

// send makes one attempt that ends with ctx. It returns the agent's response,
// whose body the caller must close, or a refusal.
func (r *request) send(ctx context.Context, a dispatch.Attempt, o agentRequest) (*http.Response, *refusal) {
	e := r.entry
	httpRequest, err := http.NewRequestWithContext(ctx, o.method, e.dialer.WorkURL(a.Address(), o.path), bytes.NewReader(o.body))
	if err != nil {
		return nil, r.sendFailure(a, "bad_request", kumquatlug.NotExecuted, err)
	}
	peer.CopyHeaders(httpRequest.Header, o.header)
	r.newWork(a, o).Write(httpRequest.Header)
	if o.kvHandle != "" {
		httpRequest.Header.Set(peer.HeaderKV, o.kvHandle)
	}
	if o.announceAdmission {
		httpRequest.Header.Set(peer.HeaderAnnounce, "true")
	}
	if notice, suspect := a.Notice(); suspect {
		httpRequest.Header[peer.HeaderNotice] = peer.EncodeNotices([]quarantine.Notice{notice})
	}
	response, err := e.dialer.WorkClient().Do(httpRequest)
	if err != nil {
		return nil, r.sendFailure(a, reasonUnreachable, ranAfterSendError(err), err)
	}
	e.cfg.Ring.Witness(peer.IntHeader(response.Header, peer.HeaderLogical))
	e.follower.ObserveRevision(peer.RoleAgent, a.Address(), peer.IntHeader(response.Header, peer.HeaderRevision), config.AgeUnknown)
	if peer.IsAgentFailure(response) {
		defer response.Body.Close()
		f, dispatchID := peer.ReadFailure(response)
		return nil, &refusal{failure: f, dispatchID: dispatchID, notices: noticesFrom(response.Header)}
	}
	return response, nil
}

func (r *request) newWork(a dispatch.Attempt, o agentRequest) peer.Work {
	logical := r.record(timeline.Sent, a.Target(), "attempt "+strconv.Itoa(a.Number()))
	return peer.NewWork(peer.WorkConfig{
		Request: r.id, Attempt: a.Number(), Kind: r.kind, Caller: r.account.Name(), Revision: int64(a.Revision()),
		Timeout: r.deadline - r.entry.cfg.Clock.Now(), RunOnce: o.idempotencyKey != "", Key: o.idempotencyKey, Dispatch: o.dispatchID,
		Fingerprint: string(r.fingerprint), Logical: logical, SenderAddress: r.entry.address,
	})
}

func (r *request) sendFailure(a dispatch.Attempt, reason string, ran kumquatlug.Execution, cause error) *refusal {
	return &refusal{failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "send work", Peer: a.Target(), Reason: reason, Execution: ran, Status: http.StatusBadGateway, Cause: cause,
	})}
}

// ranAfterSendError returns whether the work may have run after a failure to
// send it to an agent. Only a connection that was never established proves that
// nothing arrived.
func ranAfterSendError(err error) kumquatlug.Execution {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return kumquatlug.NotExecuted
	}
	return kumquatlug.ExecutionUnknown
}

// verifiedBody reads an agent's response to its end and fails if the trailer
// does not confirm that it is complete.
type verifiedBody struct {
	response *http.Response
}

// Read returns [io.ErrUnexpectedEOF] at the end of an incomplete body.
func (b verifiedBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if errors.Is(err, io.EOF) && b.response.Trailer.Get(peer.TrailerEnd) != peer.EndComplete {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Close closes the body of the agent's response.
func (b verifiedBody) Close() error { return b.response.Body.Close() }

// Parameters of prefix keys.
const (
	// prefixBlockBytes is how many bytes of a prompt one key covers, about 256
	// tokens.
	prefixBlockBytes = 1024
	// maxPrefixes limits the keys of a prompt; see routing.Query.
	maxPrefixes = 32
)

// prefixKeys returns a key for each whole block of the prompt: a hash of the
// prompt up to the end of that block. Engines compute the keys of their cached
// blocks in the same way.
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
