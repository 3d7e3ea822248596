package gateway

import (
	"sync"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// shutdownRetention is how long the shutdown of a worker is remembered. The worker ends
// within seconds, but its row may say that it is ready for as long as the store is
// unavailable.
const shutdownRetention = 600 * kumquatlug.Second

// crashRetention is the same for a worker that crashed. Its row is removed after three heartbeats;
// one that was taken for crashed by mistake serves again afterwards.
const crashRetention = 6 * kumquatlug.Second

// shuttingDownWorkers are the worker incarnations that announced their shutdown in a
// response or in their row, and those that crashed.
type shuttingDownWorkers struct {
	mu       sync.Mutex
	byWorker map[string]shuttingDownWorker
}

// shuttingDownWorker is one of them, identified by the start time of the worker.
type shuttingDownWorker struct {
	startedAt int64
	expiresAt kumquatlug.Millis
}

func newShuttingDownWorkers() *shuttingDownWorkers {
	return &shuttingDownWorkers{byWorker: map[string]shuttingDownWorker{}}
}

// note records that a worker shuts down and reports whether that was not known before.
func (d *shuttingDownWorkers) note(now kumquatlug.Millis, worker string, startedAt int64) bool {
	return d.noteUntil(now, now+shutdownRetention, worker, startedAt)
}

// noteCrash records that a worker has crashed and reports whether that was not known before.
func (d *shuttingDownWorkers) noteCrash(now kumquatlug.Millis, worker string, startedAt int64) bool {
	return d.noteUntil(now, now+crashRetention, worker, startedAt)
}

func (d *shuttingDownWorkers) noteUntil(now, expiresAt kumquatlug.Millis, worker string, startedAt int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, worker := range d.byWorker {
		if now > worker.expiresAt {
			delete(d.byWorker, id)
		}
	}
	if worker, known := d.byWorker[worker]; known && worker.startedAt == startedAt {
		return false
	}
	d.byWorker[worker] = shuttingDownWorker{startedAt: startedAt, expiresAt: expiresAt}
	return true
}

// mark sets the state of members that announced their shutdown to draining. It matches
// the incarnation and ignores the state in the row, because a restored store may
// contain an old row.
func (d *shuttingDownWorkers) mark(now kumquatlug.Millis, members []kumquatlug.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, m := range members {
		if worker, known := d.byWorker[m.Worker.ID()]; known && now <= worker.expiresAt && worker.startedAt == m.StartedAt && m.State == kumquatlug.MemberReady {
			members[i].State = kumquatlug.MemberDraining
		}
	}
}

// recordShutdown handles a response in which the worker announces its shutdown.
func (f *inflight) recordShutdown(a *placement.Attempt) {
	if !f.g.shuttingDownWorkers.note(f.g.c.Clock.Now(), a.Worker(), a.WorkerStartedAt()) {
		return
	}
	f.g.metrics.shuttingDown.Inc()
	f.g.c.Logger.Info("worker leaves", zap.String("worker", a.Worker()), zap.String("request", f.request.ID()))
	f.g.republish()
}
