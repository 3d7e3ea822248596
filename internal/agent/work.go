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

// copyBuffer is how much of an answer is held while it is passed on.
const copyBuffer = 32 << 10

// buffers are those of copyFlushing: made anew for each call they were seven
// tenths of all that an agent allocates.
var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// workDesk takes work from entries and passes the target's answers back. It is
// safe for concurrent use.
type workDesk struct {
	agent  *Agent
	ledger *ledger.Ledger
}

func newWorkDesk(a *Agent) (*workDesk, error) {
	d := &workDesk{agent: a}
	var err error
	d.ledger, err = ledger.New(ledger.Config{
		Table: a.c.Table, Objects: a.c.Objects, Clock: a.c.Clock, Target: a.c.Name, Incarnation: a.incarnation,
	})
	return d, errors.Wrap(err, "open the ledger")
}

// ServeHTTP takes one piece of work.
func (d *workDesk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	work, err := peer.ReadWork(r.Header)
	if err != nil {
		d.refuse(w, work, d.agent.failure("read work", "bad_work", err))
		return
	}
	d.agent.c.Ring.Witness(work.Logical())
	d.agent.follower.Learned(peer.RoleEntry, work.From(), work.Revision(), config.AgeUnknown)
	if notice := r.Header.Get(peer.HeaderNotice); notice != "" {
		d.agent.hand.merge([]string{notice})
	}
	id, failure := d.agent.hand.begin(r.Context(), work, d.mismatch(work))
	if failure != nil {
		d.refuse(w, work, failure)
		return
	}
	d.agent.c.Ring.Add(timeline.Record{Name: timeline.WorkBegun, RequestID: work.Request(), Detail: work.Kind().String()})
	whole := false
	defer func() {
		if d.agent.hand.end(id, whole) {
			d.agent.unclaimSuspect(work)
		}
	}()
	if work.Once() {
		whole = d.serveOnce(w, r, work, id)
		return
	}
	whole = d.serve(w, r, work, id)
}

// mismatch says why the config in force here forbids the work. An entry that is
// cut off routes by an older config and would go on sending to a target that
// the operator has taken away; the agent's newer config refuses it. An agent
// with the older config has no say and pulls the newer one instead.
func (d *workDesk) mismatch(work peer.Work) string {
	t := d.agent.terms.Load()
	if int64(t.revision) < work.Revision() {
		return ""
	}
	if t.err != nil {
		return t.err.Error()
	}
	return selector.Refusal(t.selectors, work.Kind(), t.labels)
}

func (d *workDesk) refuse(w http.ResponseWriter, work peer.Work, f *kumquatlug.Failure) {
	d.agent.metrics.refused.WithLabelValues(f.Reason()).Inc()
	d.agent.c.Logger.Info("work refused", zap.String("request", work.Request()), zap.String("step", f.Step()),
		zap.String("reason", f.Reason()), zap.String("ran", string(f.Ran())), zap.String("cause", f.CauseText()))
	logical := d.agent.c.Ring.Add(timeline.Record{
		Name: timeline.WorkRefused, RequestID: work.Request(), Detail: f.Reason() + " " + string(f.Ran()),
	})
	peer.WriteFailure(w, f, int64(d.agent.follower.State().Revision()), logical)
}

// serve makes the call, passes the answer back and reports whether it was whole.
func (d *workDesk) serve(w http.ResponseWriter, r *http.Request, work peer.Work, id string) bool {
	started := d.agent.c.Clock.Now()
	d.importKV(r)
	answer, err := d.agent.c.Target.Do(r.Context(), callOf(r, work))
	if err != nil {
		d.refuseBroken(w, r, work, id, err)
		return false
	}
	defer answer.Body().Close()
	if answer.Status() == http.StatusServiceUnavailable && work.Kind().Protocol() == kumquatlug.ProtocolEngine {
		d.refuse(w, work, d.agent.failure("call target", dispatch.ReasonFull, nil))
		return false
	}
	end := d.passOn(w, answer, func() { d.agent.hand.started(id) })
	if end != peer.EndWhole {
		w.Header().Set(peer.HeaderNotice, d.agent.broke(r.Context(), id, work))
	}
	d.agent.metrics.ended.WithLabelValues(end).Inc()
	d.agent.c.Ring.Add(timeline.Record{
		Name: timeline.WorkEnded, RequestID: work.Request(), Detail: end,
		Duration: int64(d.agent.c.Clock.Now() - started),
	})
	return end == peer.EndWhole
}

// importKV has the engine fetch the KV cache of the prompt from the engine that
// ran it. When that fails the engine runs the prompt itself: slower, and as
// right.
func (d *workDesk) importKV(r *http.Request) {
	handle := r.Header.Get(peer.HeaderKV)
	if handle == "" || d.agent.c.Engine == nil {
		return
	}
	if err := d.agent.c.Engine.ImportKV(r.Context(), handle); err != nil {
		d.agent.c.Logger.Warn("can't import a KV cache; the prompt runs again", timeline.ErrorField(err))
	}
}

// refuseBroken answers for a call that brought no answer.
func (d *workDesk) refuseBroken(w http.ResponseWriter, r *http.Request, work peer.Work, id string, err error) {
	f := kumquatlug.FailureOf(err)
	if notice := d.agent.broke(r.Context(), id, work); notice != "" {
		w.Header().Set(peer.HeaderNotice, notice)
	}
	d.refuse(w, work, f)
}

// callOf returns the call as the target is to see it.
func callOf(r *http.Request, work peer.Work) kumquatlug.Call {
	header := http.Header{}
	peer.CopyHeaders(header, r.Header)
	if work.Once() {
		header.Set(peer.KeyHeader, work.Key())
	}
	path := strings.TrimPrefix(r.URL.RequestURI(), peer.WorkPath)
	if r.ContentLength == 0 {
		return kumquatlug.NewCall(r.Method, path, header, nil)
	}
	return kumquatlug.NewCall(r.Method, path, header, r.Body)
}

// passOn copies the answer to the entry as it comes. The trailer tells whether
// it was whole: when a target dies its kernel may close the connection in an
// orderly way, which alone reads like the end of an answer.
func (d *workDesk) passOn(w http.ResponseWriter, answer kumquatlug.Answer, started func()) string {
	header := w.Header()
	peer.CopyHeaders(header, answer.Header())
	header.Del("Content-Length")
	header.Set("Trailer", peer.TrailerEnd+", "+peer.HeaderNotice)
	header.Set(peer.HeaderRan, string(kumquatlug.RanDone))
	header.Set(peer.HeaderRevision, strconv.FormatInt(int64(d.agent.follower.State().Revision()), 10))
	header.Set(peer.HeaderLogical, strconv.FormatInt(d.agent.c.Ring.Logical(), 10))
	w.WriteHeader(answer.Status())
	end := peer.EndWhole
	if err := copyFlushing(w, answer.Body(), started); err != nil {
		end = peer.EndCut
	}
	header.Set(peer.TrailerEnd, end)
	return end
}

// copyFlushing copies body to w and sends each part on at once; started is
// called at the first part.
func copyFlushing(w http.ResponseWriter, body io.Reader, started func()) error {
	control := http.NewResponseController(w)
	pooled := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(pooled)
	buffer := pooled[:]
	for first := true; ; {
		n, err := body.Read(buffer)
		if n > 0 {
			if first {
				started()
				first = false
			}
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return werr
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
