package gateway

import (
	"sync"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// drainingRetention is for how long it is remembered that a worker said it leaves. It ends
// within seconds, but its row may say that it is ready for as long as the store is out
// of reach.
const drainingRetention = 600 * kumquatlug.Second

// drainingWorkers are the incarnations of workers that said in an answer, or in their row,
// that they leave.
type drainingWorkers struct {
	mu       sync.Mutex
	byWorker map[string]drainingWorker
}

// drainingWorker is one of them, by the start of its worker.
type drainingWorker struct {
	startedAt int64
	notedAt   kumquatlug.Millis
}

func newDrainingWorkers() *drainingWorkers {
	return &drainingWorkers{byWorker: map[string]drainingWorker{}}
}

// note records that a worker leaves and reports whether that is news.
func (d *drainingWorkers) note(now kumquatlug.Millis, worker string, born int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, worker := range d.byWorker {
		if now-worker.notedAt > drainingRetention {
			delete(d.byWorker, id)
		}
	}
	if worker, known := d.byWorker[worker]; known && worker.startedAt == born {
		return false
	}
	d.byWorker[worker] = drainingWorker{startedAt: born, notedAt: now}
	return true
}

// mark has members that said that they leave count as draining. It goes by the
// incarnation, whatever its row says: an old row may come back with the store.
func (d *drainingWorkers) mark(members []kumquatlug.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, m := range members {
		if worker, known := d.byWorker[m.Worker.ID()]; known && worker.startedAt == m.Born && m.State == kumquatlug.MemberReady {
			members[i].State = kumquatlug.MemberDraining
		}
	}
}

// recordShutdown takes that the worker of an attempt says it leaves.
func (f *inflight) recordShutdown(a *placement.Ticket) {
	if !f.g.draining.note(f.g.c.Clock.Now(), a.Worker(), a.Born()) {
		return
	}
	f.g.metrics.shuttingDown.Inc()
	f.g.c.Logger.Info("worker leaves", zap.String("worker", a.Worker()), zap.String("request", f.request.ID()))
	f.g.republish()
}
