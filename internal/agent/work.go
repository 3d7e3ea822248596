package agent

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ledger"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// copyBufferBytes is the size of the buffer with which a response is copied.
const copyBufferBytes = 32 << 10

// copyBuffers are the buffers of copyAndFlush. A new one per call took seven tenths
// of all memory that an agent allocates.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// workHandler accepts work from gateways and forwards the target's responses. It is
// safe for concurrent use.
type workHandler struct {
	agent    *Agent
	ledger   *ledger.Ledger
	outcomes *outcomeMemory
}

func newWorkHandler(a *Agent) (*workHandler, error) {
	h := &workHandler{agent: a, outcomes: newOutcomeMemory()}
	var err error
	h.ledger, err = ledger.New(ledger.Config{
		Table: a.c.Table, Objects: a.c.Objects, Clock: a.c.Clock, Target: a.c.Name, Incarnation: a.incarnation,
	})
	return h, errors.Wrap(err, "open the ledger")
}

// ServeHTTP handles one call.
func (h *workHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	work, err := peer.ReadWork(r.Header)
	if err != nil {
		h.refuse(w, work, h.agent.refusal("read work", "bad_work", err))
		return
	}
	h.agent.c.Ring.Witness(work.Logical())
	h.agent.follower.ObserveRevision(peer.RoleGateway, work.SenderAddress(), work.Revision(), config.AgeUnknown)
	if notice := r.Header.Get(peer.HeaderNotice); notice != "" {
		h.agent.admission.mergeNotices([]string{notice})
	}
	id, failure := h.agent.admission.admit(r.Context(), work, h.configRefusal(work))
	if failure != nil {
		h.refuse(w, work, failure)
		return
	}
	h.agent.c.Ring.Add(timeline.Record{Name: timeline.WorkBegun, RequestID: work.Request(), Detail: work.Kind().String()})
	if r.Header.Get(peer.HeaderAnnounce) != "" {
		w.WriteHeader(http.StatusProcessing)
	}
	complete := false
	defer func() {
		if h.agent.admission.finish(id, complete) {
			h.agent.releaseSuspectClaim(work)
		}
	}()
	if work.RunOnce() {
		complete = h.serveOnce(w, r, work, id)
		return
	}
	complete = h.serve(w, r, work, id)
}

// configRefusal returns why the config in force forbids the work, empty if it doesn't.
// A partitioned gateway routes by an older config and would continue to send work to
// a target that the operator has withdrawn; the agent's newer config refuses it. If
// the agent's config is the older one, it refuses nothing and the agent pulls the
// newer one.
func (h *workHandler) configRefusal(work peer.Work) string {
	target := h.agent.targetConfig.Load()
	if int64(target.revision) < work.Revision() {
		return ""
	}
	if target.labelsErr != nil {
		return target.labelsErr.Error()
	}
	return selector.Refusal(target.selectors, work.Kind(), target.labels)
}

func (h *workHandler) refuse(w http.ResponseWriter, work peer.Work, f *kumquatlug.Failure) {
	h.agent.metrics.refused.WithLabelValues(f.Reason()).Inc()
	h.agent.c.Logger.Info("work refused", zap.String("request", work.Request()), zap.String("step", f.Step()),
		zap.String("reason", f.Reason()), zap.String("ran", string(f.Execution())), zap.String("cause", f.CauseText()))
	logical := h.agent.c.Ring.Add(timeline.Record{
		Name: timeline.WorkRefused, RequestID: work.Request(), Detail: f.Reason() + " " + string(f.Execution()),
	})
	peer.WriteFailure(w, f, int64(h.agent.follower.State().Revision()), logical)
}

// serve forwards the call and its response, and reports whether the response was
// complete.
func (h *workHandler) serve(w http.ResponseWriter, r *http.Request, work peer.Work, id string) bool {
	startedAt := h.agent.c.Clock.Now()
	h.importKV(r)
	response, err := h.agent.c.Target.Do(r.Context(), targetCall(r, work))
	if err != nil {
		h.refuseFailed(w, r, work, id, err)
		return false
	}
	defer response.Body().Close()
	if response.Status() == http.StatusServiceUnavailable && work.Kind().Protocol() == kumquatlug.ProtocolEngine {
		h.refuse(w, work, h.agent.refusal("call target", dispatch.ReasonEngineRefused, nil))
		return false
	}
	end := h.forwardResponse(w, response, h.completeBody(r.Context(), response), func() { h.agent.admission.firstOutput(id) })
	if end != peer.EndComplete {
		w.Header().Set(peer.HeaderNotice, h.agent.checkCrash(r.Context(), id, work))
	}
	h.agent.metrics.ended.WithLabelValues(end).Inc()
	h.agent.c.Ring.Add(timeline.Record{
		Name: timeline.WorkEnded, RequestID: work.Request(), Detail: end,
		Duration: int64(h.agent.c.Clock.Now() - startedAt),
	})
	return end == peer.EndComplete
}

// importKV has the engine fetch the KV cache of the prompt from the engine that
// prefilled it. If that fails, the engine prefills the prompt itself, which is slower
// and gives the same result.
func (h *workHandler) importKV(r *http.Request) {
	handle := r.Header.Get(peer.HeaderKV)
	if handle == "" || h.agent.c.Engine == nil {
		return
	}
	if err := h.agent.c.Engine.ImportKV(r.Context(), handle); err != nil {
		h.agent.c.Logger.Warn("failed to import a KV cache; the prompt is prefilled again", timeline.ErrorField(err))
	}
}

// refuseFailed responds for a call without a response from the target.
func (h *workHandler) refuseFailed(w http.ResponseWriter, r *http.Request, work peer.Work, id string, err error) {
	f := kumquatlug.FailureOf(err)
	if notice := h.agent.checkCrash(r.Context(), id, work); notice != "" {
		w.Header().Set(peer.HeaderNotice, notice)
	}
	h.refuse(w, work, f)
}

// targetCall returns the call as it is sent to the target.
func targetCall(r *http.Request, work peer.Work) kumquatlug.Call {
	header := http.Header{}
	peer.CopyHeaders(header, r.Header)
	if work.RunOnce() {
		header.Set(peer.HeaderIdempotencyKey, work.Key())
	}
	path := strings.TrimPrefix(r.URL.RequestURI(), peer.WorkPath)
	if r.ContentLength == 0 {
		return kumquatlug.NewCall(r.Method, path, header, nil)
	}
	return kumquatlug.NewCall(r.Method, path, header, r.Body)
}

// forwardResponse streams a response with this body to the gateway. The trailer says whether it
// is complete.
func (h *workHandler) forwardResponse(w http.ResponseWriter, response kumquatlug.TargetResponse, body io.Reader, onFirstOutput func()) string {
	header := w.Header()
	peer.CopyHeaders(header, response.Header())
	header.Del("Content-Length")
	header.Set("Trailer", peer.TrailerEnd+", "+peer.HeaderNotice)
	header.Set(peer.HeaderExecution, string(kumquatlug.Executed))
	header.Set(peer.HeaderRevision, strconv.FormatInt(int64(h.agent.follower.State().Revision()), 10))
	header.Set(peer.HeaderLogical, strconv.FormatInt(h.agent.c.Ring.Logical(), 10))
	w.WriteHeader(response.Status())
	end := peer.EndComplete
	if err := copyAndFlush(w, body, onFirstOutput); err != nil {
		end = peer.EndTruncated
	}
	header.Set(peer.TrailerEnd, end)
	return end
}

// copyAndFlush copies body to w and flushes each part; it calls onFirstOutput before
// the first one.
func copyAndFlush(w http.ResponseWriter, body io.Reader, onFirstOutput func()) error {
	control := http.NewResponseController(w)
	pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	for first := true; ; {
		n, err := body.Read(buffer)
		if n > 0 {
			if first {
				onFirstOutput()
				first = false
			}
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
