package agent

import (
	"context"
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

// workDesk takes work from entries and passes the target's answers back. It is
// safe for concurrent use.
type workDesk struct {
	agent *Agent

	ledger *ledger.Ledger

	mu       sync.Mutex
	stopping bool
	// labelLeaving and vmLeaving are the two words of leaving.
	labelLeaving bool
	vmLeaving    bool
	next         int64
	inHand       map[int64]piece
	begun        map[string]int64
}

// piece is one call that is at the target.
type piece struct {
	fingerprint string
	entry       string
}

func newWorkDesk(a *Agent) (*workDesk, error) {
	d := &workDesk{agent: a, inHand: map[int64]piece{}, begun: map[string]int64{}}
	var err error
	d.ledger, err = ledger.New(ledger.Config{
		Table: a.c.Table, Objects: a.c.Objects, Clock: a.c.Clock, Target: a.c.Name, Incarnation: a.incarnation,
	})
	return d, errors.Wrap(err, "open the ledger")
}

func (d *workDesk) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
}

// setLabelLeaving takes what the config in force says of the target.
func (d *workDesk) setLabelLeaving(leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteLeaving(leaving, d.vmLeaving)
}

// setVMLeaving takes what an entry read in the platform's list. The list lags
// and differs between entries, so one word of leaving stands until the agent is
// replaced.
func (d *workDesk) setVMLeaving(leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteLeaving(d.labelLeaving, d.vmLeaving || leaving)
}

// noteLeaving keeps both words; either of them alone is enough.
func (d *workDesk) noteLeaving(label, vm bool) {
	before := d.leaving()
	d.labelLeaving, d.vmLeaving = label, vm
	if d.leaving() == before {
		return
	}
	d.agent.c.Ring.Add(timeline.Record{Name: timeline.StateChanged, Detail: "leaving " + strconv.FormatBool(d.leaving())})
}

func (d *workDesk) leaving() bool { return d.labelLeaving || d.vmLeaving }

func (d *workDesk) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.inHand) == 0
}

// ServeHTTP takes one piece of work.
func (d *workDesk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	work, err := peer.ReadWork(r.Header)
	if err != nil {
		d.refuse(w, work, d.failure("read work", "bad_work", err))
		return
	}
	d.agent.c.Ring.Witness(work.Logical())
	d.agent.follower.Learned(peer.RoleEntry, work.From(), work.Revision(), config.AgeUnknown)
	id, failure := d.begin(work)
	if failure != nil {
		d.refuse(w, work, failure)
		return
	}
	defer d.end(id)
	if work.Once() {
		d.serveOnce(w, r, work)
		return
	}
	d.serve(w, r, work)
}

func (d *workDesk) failure(step, reason string, cause error) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Peer: d.agent.c.Name, Reason: reason, Ran: kumquatlug.RanNot, Cause: cause,
	})
}

// begin checks the work and counts it as in hand, or says why it is refused.
// Both happen under one lock: between a check and the count a planned stop
// could otherwise find nothing in hand, end the process and cut the call.
func (d *workDesk) begin(work peer.Work) (int64, *kumquatlug.Failure) {
	state := d.agent.follower.State()
	mismatch := d.mismatch(state, work)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.stopping:
		return 0, d.failure("take work", dispatch.ReasonStopping, nil)
	case d.leaving():
		return 0, d.failure("take work", dispatch.ReasonLeaving, nil)
	case mismatch != "":
		return 0, d.failure("take work", "not_selected", errors.New(mismatch))
	}
	d.next++
	d.inHand[d.next] = piece{fingerprint: work.Fingerprint(), entry: work.From()}
	d.begun[work.From()]++
	d.agent.metrics.begun.Inc()
	d.agent.metrics.inHand.Set(float64(len(d.inHand)))
	d.agent.c.Ring.Add(timeline.Record{Name: timeline.WorkBegun, RequestID: work.Request(), Detail: work.Kind().String()})
	return d.next, nil
}

// mismatch says why the config in force here forbids the work. An entry that is
// cut off routes by an older config and would go on sending to a target that
// the operator has taken away; the agent's newer config refuses it. An agent
// with the older config has no say and pulls the newer one instead.
func (d *workDesk) mismatch(state config.State, work peer.Work) string {
	if int64(state.Revision()) < work.Revision() {
		return ""
	}
	labels, err := config.Labels(state, d.agent.c.Name)
	if err != nil {
		return err.Error()
	}
	selectors, _ := config.Selectors(state)
	return selector.Refusal(selectors, work.Kind(), labels.With(d.agent.c.Name, d.agent.c.Zone))
}

func (d *workDesk) end(id int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.inHand, id)
	d.agent.metrics.inHand.Set(float64(len(d.inHand)))
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

// serve makes the call and passes the answer back.
func (d *workDesk) serve(w http.ResponseWriter, r *http.Request, work peer.Work) {
	started := d.agent.c.Clock.Now()
	answer, err := d.agent.c.Target.Do(r.Context(), callOf(r, work))
	if err != nil {
		d.noteCrash(r.Context(), work)
		d.refuse(w, work, kumquatlug.FailureOf(err))
		return
	}
	defer answer.Body().Close()
	if answer.Status() == http.StatusServiceUnavailable && work.Kind().Protocol() == kumquatlug.ProtocolEngine {
		d.refuse(w, work, d.failure("call target", dispatch.ReasonFull, nil))
		return
	}
	end := d.passOn(w, answer)
	if end != peer.EndWhole {
		d.noteCrash(r.Context(), work)
	}
	d.agent.metrics.ended.WithLabelValues(end).Inc()
	d.agent.c.Ring.Add(timeline.Record{
		Name: timeline.WorkEnded, RequestID: work.Request(), Detail: end,
		Duration: int64(d.agent.c.Clock.Now() - started),
	})
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
func (d *workDesk) passOn(w http.ResponseWriter, answer kumquatlug.Answer) string {
	header := w.Header()
	peer.CopyHeaders(header, answer.Header())
	header.Del("Content-Length")
	header.Set("Trailer", peer.TrailerEnd)
	header.Set(peer.HeaderRan, string(kumquatlug.RanDone))
	header.Set(peer.HeaderRevision, strconv.FormatInt(int64(d.agent.follower.State().Revision()), 10))
	header.Set(peer.HeaderLogical, strconv.FormatInt(d.agent.c.Ring.Logical(), 10))
	w.WriteHeader(answer.Status())
	end := peer.EndWhole
	if err := copyFlushing(w, answer.Body()); err != nil {
		end = peer.EndCut
	}
	header.Set(peer.TrailerEnd, end)
	return end
}

// copyFlushing copies body to w and sends each part on at once.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
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

// noteCrash asks the watch to look at the target when a call broke that the
// entry had not given up.
func (d *workDesk) noteCrash(ctx context.Context, work peer.Work) {
	if ctx.Err() == nil {
		d.agent.watch.suspect(work)
	}
}

// fingerprints returns the requests in hand.
func (d *workDesk) fingerprints() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for _, p := range d.inHand {
		list = append(list, p.fingerprint)
	}
	return list
}

// counts returns how much is in hand and how much one entry has begun.
func (d *workDesk) counts(entry string) (inHand int, begun int64, leaving, stopping bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.inHand), d.begun[entry], d.leaving(), d.stopping
}
