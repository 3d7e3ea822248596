package gateway

import (
	"sync"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// departureKept is for how long it is remembered that a worker said it leaves. It ends
// within seconds, but its row may say that it is ready for as long as the store is out
// of reach.
const departureKept = 600 * kumquatlug.Second

// departures are the incarnations of workers that said in an answer, or in their row,
// that they leave.
type departures struct {
	mu   sync.Mutex
	told map[string]departure
}

// departure is one of them, by the start of its worker.
type departure struct {
	born int64
	at   kumquatlug.Millis
}

func newDepartures() *departures { return &departures{told: map[string]departure{}} }

// note records that a worker leaves and reports whether that is news.
func (d *departures) note(now kumquatlug.Millis, worker string, born int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, one := range d.told {
		if now-one.at > departureKept {
			delete(d.told, id)
		}
	}
	if one, known := d.told[worker]; known && one.born == born {
		return false
	}
	d.told[worker] = departure{born: born, at: now}
	return true
}

// mark has members that said that they leave count as draining. It goes by the
// incarnation, whatever its row says: an old row may come back with the store.
func (d *departures) mark(members []kumquatlug.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, m := range members {
		if one, told := d.told[m.Worker.ID()]; told && one.born == m.Born && m.State == kumquatlug.MemberReady {
			members[i].State = kumquatlug.MemberDraining
		}
	}
}

// departs takes that the worker of an attempt says it leaves.
func (f *inflight) departs(t *placement.Ticket) {
	if !f.g.departures.note(f.g.c.Clock.Now(), t.Worker(), t.Born()) {
		return
	}
	f.g.metrics.leaving.Inc()
	f.g.c.Logger.Info("worker leaves", zap.String("worker", t.Worker()), zap.String("request", f.ask.ID()))
	f.g.republish()
}
