package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
)

// Figures of the watch over the target.
const (
	// watchEvery is how often the target is asked for its health and load. It
	// is on the same VM, and an entry asks the agent once a second at most.
	watchEvery = 500 * time.Millisecond
	// watchTimeout bounds one look.
	watchTimeout = 2 * time.Second
	// keptCrashes bounds the crashes that are told; a crash is told until as
	// many newer ones came.
	keptCrashes = 16
	// keptEvents bounds the cache events that are told again to an entry which
	// missed them.
	keptEvents = 256
	// suspects bounds the broken calls that wait for a look.
	suspects = 64
)

// crash is one time at which the target went away with work in hand.
type crash struct {
	id           string
	fingerprints []string
}

// condition is what the watch last saw of the target.
type condition struct {
	healthy bool
	load    engine.Load
	readAt  time.Time
	state   engine.Condition
	crashes []crash
	events  []engine.CacheEvent
}

// watch looks at the target and keeps what it saw for entries that ask.
type watch struct {
	agent   *Agent
	broken  chan peer.Work
	mu      sync.Mutex
	last    condition
	crashes int
	cursor  int64
}

func newWatch(a *Agent) *watch {
	return &watch{agent: a, broken: make(chan peer.Work, suspects)}
}

// seen returns what was last seen.
func (w *watch) seen() condition {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// suspect tells that the target broke work off.
func (w *watch) suspect(work peer.Work) {
	select {
	case w.broken <- work:
	default:
	}
}

// run looks at the target until ctx ends.
func (w *watch) run(ctx context.Context) error {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		w.look(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case work := <-w.broken:
			w.noteCrash(ctx, work)
		}
	}
}

func (w *watch) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	healthy := w.agent.c.Target.Healthy(ctx) == nil
	w.mu.Lock()
	w.last.healthy = healthy
	w.mu.Unlock()
	w.followLabels()
	if healthy && w.agent.c.Engine != nil {
		w.readEngine(ctx)
	}
}

// followLabels takes the leaving label of the config in force to the work desk.
func (w *watch) followLabels() {
	labels, err := config.Labels(w.agent.follower.State(), w.agent.c.Name)
	if err == nil {
		w.agent.work.setLabelLeaving(labels.Leaving())
	}
}

func (w *watch) readEngine(ctx context.Context) {
	load, err := w.agent.c.Engine.ReadLoad(ctx)
	if err != nil {
		w.agent.c.Logger.Debug("can't read load", zap.Error(err))
		return
	}
	state, err := w.agent.c.Engine.ReadState(ctx)
	if err != nil {
		state = engine.Condition{State: engine.StateUnknown}
	}
	events, err := w.agent.c.Engine.CacheEvents(ctx, w.cursor)
	if err != nil {
		events = nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last.load, w.last.readAt, w.last.state = load, time.Now(), state
	w.keepEvents(events)
}

func (w *watch) keepEvents(events []engine.CacheEvent) {
	if len(events) == 0 {
		return
	}
	w.cursor = events[len(events)-1].Sequence
	all := append(append([]engine.CacheEvent(nil), w.last.events...), events...)
	w.last.events = all[max(0, len(all)-keptEvents):]
}

// noteCrash records a crash when the target is gone, with every request that
// was in hand. A target that still answers only broke one connection.
func (w *watch) noteCrash(ctx context.Context, work peer.Work) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if w.agent.c.Target.Healthy(ctx) == nil {
		return
	}
	fingerprints := w.agent.work.fingerprints()
	if !contains(fingerprints, work.Fingerprint()) {
		fingerprints = append(fingerprints, work.Fingerprint())
	}
	for drained := false; !drained; {
		select {
		case other := <-w.broken:
			if !contains(fingerprints, other.Fingerprint()) {
				fingerprints = append(fingerprints, other.Fingerprint())
			}
		default:
			drained = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes++
	one := crash{id: w.agent.incarnation + "/" + itoa(w.crashes), fingerprints: fingerprints}
	all := append(append([]crash(nil), w.last.crashes...), one)
	w.last.crashes = all[max(0, len(all)-keptCrashes):]
	w.last.healthy = false
	w.agent.metrics.crashes.Inc()
	w.agent.c.Ring.Add(timeline.Record{Name: timeline.TargetCrashed, RequestID: work.Request(), Detail: itoa(len(fingerprints)) + " in hand"})
	w.agent.c.Logger.Warn("target crashed", zap.String("request", work.Request()), zap.Int("in_hand", len(fingerprints)))
}

func contains(list []string, one string) bool {
	for _, s := range list {
		if s == one {
			return true
		}
	}
	return false
}
