package agent

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/drain"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/order"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// watchedWait bounds how long work waits for a suspect to start elsewhere in
// the engine. A suspect starts within seconds or crashes; after that another
// target is the better place.
const watchedWait = 5 * kumquatlug.Second

// urgentBelow is the time left of a deadline below which a suspect does not wait
// to be the only one at a target.
const urgentBelow = 2 * watchedWait

// Reasons of refusals that concern requests in hand at crashes.
const (
	reasonSuspect     = dispatch.ReasonSuspect
	reasonQuarantined = "quarantined"
)

// hand decides whether work may begin at the target, and knows what is in hand.
// One lock joins the three decisions: between a check and the count a planned
// stop, an order or a crash could otherwise find nothing in hand and cut the
// call that was just let in.
type hand struct {
	agent *Agent

	mu       sync.Mutex
	changed  chan struct{}
	drain    *drain.Drain
	orders   *order.Gate
	watched  *quarantine.Gate
	register *quarantine.Register
	stopping bool
	starts   order.Incarnation
	next     int64
	life     int
	pieces   map[string]piece
	begun    map[string]int64
}

// piece is one call that is in hand.
type piece struct {
	life    int
	claimed bool
}

func newHand(a *Agent) *hand {
	register := quarantine.New(quarantine.Config{})
	return &hand{
		agent: a, changed: make(chan struct{}), drain: drain.New(drain.Config{Silence: a.c.Silence}),
		watched: quarantine.NewGate(register), register: register,
		pieces: map[string]piece{}, begun: map[string]int64{},
	}
}

func (h *hand) now() kumquatlug.Millis { return h.agent.c.Clock.Now() }

// wake tells those who wait that something started or ended. The lock is held.
func (h *hand) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// with runs change under the lock.
func (h *hand) with(change func(now kumquatlug.Millis)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.drain.State(h.now())
	change(h.now())
	h.noteState(before)
}

func (h *hand) noteState(before drain.State) {
	if after := h.drain.State(h.now()); after != before && before != drain.StateRefusing {
		h.agent.c.Ring.Add(timeline.Record{Name: timeline.StateChanged, Detail: string(before) + " to " + string(after)})
	}
}

// begin lets a piece of work in and returns its id, or says why it is refused.
func (h *hand) begin(ctx context.Context, work peer.Work, forbidden string) (string, *kumquatlug.Failure) {
	ctx, cancel := context.WithTimeout(ctx, watchedWait.Duration())
	defer cancel()
	claimed, begun := false, false
	defer func() {
		// A claim under which nothing ran is given back, or the suspect could
		// run nowhere any more.
		if claimed && !begun {
			h.agent.unclaimSuspect(work)
		}
	}()
	for {
		id, verdict, changed, failure := h.try(work, forbidden, claimed)
		if failure != nil {
			return "", failure
		}
		begun = verdict == quarantine.VerdictRun
		switch verdict {
		case quarantine.VerdictRun:
			return id, nil
		case quarantine.VerdictClaim:
			if failure := h.agent.claimSuspect(ctx, work); failure != nil {
				return "", failure
			}
			claimed = true
			continue
		case quarantine.VerdictRefuse:
			return "", quarantined(h.agent.c.Name)
		case quarantine.VerdictElsewhere:
			return "", h.agent.failure("take work", reasonSuspect, nil)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", h.agent.failure("take work", reasonSuspect, ctx.Err())
		}
	}
}

func causeOf(text string) error {
	if text == "" {
		return nil
	}
	return errors.New(text)
}

func quarantined(agent string) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "take work", Peer: agent, Reason: reasonQuarantined, Ran: kumquatlug.RanNot,
		Status: http.StatusUnprocessableEntity, Cause: errors.New("this request was in hand at crashes of targets"),
	})
}

// try asks the three gates in turn; what one has let in is taken back when the
// next refuses.
func (h *hand) try(work peer.Work, forbidden string, claimed bool) (string, quarantine.Verdict, <-chan struct{}, *kumquatlug.Failure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	admission := h.drain.Begin(drain.NewRequest(work.Revision(), forbidden != ""), now)
	if !admission.Accepted() {
		return "", "", nil, h.agent.failure("take work", string(admission.Reason()), causeOf(forbidden))
	}
	if h.orders != nil && !h.orders.Begin() {
		_ = h.drain.End()
		return "", "", nil, h.agent.failure("take work", string(drain.ReasonOrder), nil)
	}
	h.next++
	id := itoa(int(h.next))
	fingerprint := quarantine.Fingerprint(work.Fingerprint())
	verdict := h.watched.Begin(now, quarantine.Arrival{ID: id, Fingerprint: fingerprint, Claimed: claimed, Urgent: work.Timeout() < urgentBelow})
	if verdict != quarantine.VerdictRun {
		h.watched.Abandon(id)
		h.release()
		return "", verdict, h.changed, nil
	}
	h.pieces[id] = piece{life: h.life, claimed: claimed}
	h.begun[work.From()]++
	h.agent.metrics.begun.Inc()
	h.agent.metrics.inHand.Set(float64(len(h.pieces)))
	return id, verdict, nil, nil
}

// release takes a piece of work out of drain and orders. The lock is held.
func (h *hand) release() {
	_ = h.drain.End()
	if h.orders != nil {
		h.orders.End()
	}
}

// started takes the first output of a piece of work.
func (h *hand) started(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watched.Started(id)
	h.wake()
}

// end takes the end of a piece of work and reports whether a suspect's claim is
// to be removed.
func (h *hand) end(id string, whole bool) (unclaim bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pieces[id]
	delete(h.pieces, id)
	h.watched.Ended(h.now(), id, whole)
	h.release()
	h.wake()
	h.agent.metrics.inHand.Set(float64(len(h.pieces)))
	return p.claimed && whole
}

// crashed takes that the target is gone, once for each of its lives: many calls
// break at the same moment, and each of their goroutines comes here.
func (h *hand) crashed(id string) (first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pieces[id].life != h.life {
		return false
	}
	crash := quarantine.NewCrash(h.agent.c.Name, h.agent.incarnation+"."+itoa(h.life))
	h.register.Crashed(h.now(), crash, h.watched.Crashed(h.now(), crash))
	h.life++
	if h.orders != nil {
		h.orders.Crashed()
	}
	h.wake()
	return true
}

// notice returns what is known of a request that was in hand at a crash, as
// text, empty when nothing is.
func (h *hand) notice(fingerprint string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, known := h.register.Notice(h.now(), quarantine.Fingerprint(fingerprint))
	if !known {
		return ""
	}
	text, err := n.MarshalText()
	if err != nil {
		return ""
	}
	return string(text)
}

// merge takes notices of other processes.
func (h *hand) merge(texts []string) {
	notices := peer.NoticesFrom(texts)
	if len(notices) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.register.Merge(h.now(), notices)
}

// known returns the notices after a version.
func (h *hand) known(after int64) ([]string, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	notices, version := h.register.Known(h.now(), after)
	return peer.NoticesTo(notices), version
}

// stop begins a planned stop.
func (h *hand) stop() {
	h.with(func(now kumquatlug.Millis) {
		h.stopping = true
		h.drain.Stop(now)
	})
}

// idle reports whether nothing is in hand and nothing will be.
func (h *hand) idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drain.State(h.now()) == drain.StateDone
}

// silent reports whether no entry has spoken for most of the time after which
// new work is refused.
func (h *hand) silent(heardAt kumquatlug.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	const part = 2
	return h.drain.Silent(h.now()) || h.agent.c.Silence > 0 && h.now()-heardAt > h.agent.c.Silence/part
}

// state returns how the target is reported to entries.
func (h *hand) state(healthy bool) dispatch.TargetState {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.drain.State(h.now())
	switch {
	case h.stopping:
		return dispatch.TargetStopping
	case !healthy:
		return dispatch.TargetDown
	case h.away():
		return dispatch.TargetChanging
	case state == drain.StateRefusing || state == drain.StateDone:
		return dispatch.TargetLeaving
	case state == drain.StateStarting:
		return dispatch.TargetStarting
	default:
		return dispatch.TargetServing
	}
}

// away reports whether an order keeps work from the engine, also while its
// outcome is in doubt: the gate would refuse work then, and entries told
// otherwise would send it in vain. The lock is held.
func (h *hand) away() bool {
	if h.orders == nil {
		return false
	}
	if !h.orders.Begin() {
		return true
	}
	h.orders.End()
	return false
}

// phase returns where the target is between orders. The lock is held.
func (h *hand) phase() order.Phase {
	if h.orders == nil {
		return order.PhaseUnknown
	}
	return h.orders.Phase()
}
