package scaling

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const boot = 12 * kumquatlug.Second

// result is the outcome of a simulated load with workers that take a while to start: the
// orders, the worker time in seconds, and the seconds with more load than workers.
type result struct {
	orders                           int
	workerSeconds, overloadedSeconds float64
}

func simulate(load func(now kumquatlug.Millis) float64, span kumquatlug.Millis, decide func(now kumquatlug.Millis, v Load) (int, bool)) result {
	type pendingStart struct {
		at kumquatlug.Millis
		n  int
	}
	var r result
	workers, starts := 4, []pendingStart{}
	for now := kumquatlug.Millis(0); now < span; now += kumquatlug.Second {
		for len(starts) > 0 && starts[0].at <= now {
			workers += starts[0].n
			starts = starts[1:]
		}
		busy := load(now)
		total := workers
		for _, s := range starts {
			total += s.n
		}
		if n, order := decide(now, Load{Workers: workers, BusyWorkers: min(busy, float64(workers))}); order && n != total {
			r.orders++
			if n > total {
				starts = append(starts, pendingStart{now + boot, n - total})
			} else {
				workers = max(n, 1)
			}
		}
		r.workerSeconds += float64(total)
		if busy > float64(workers) {
			r.overloadedSeconds++
		}
	}
	return r
}

// waves is a load that rises for 30 seconds and falls for 30 seconds, repeatedly.
func waves(now kumquatlug.Millis) float64 {
	at := now % (60 * kumquatlug.Second)
	if at > 30*kumquatlug.Second {
		at = 60*kumquatlug.Second - at
	}
	return 2 + 6*float64(at)/float64(30*kumquatlug.Second)
}

// Load peaks once a minute. Workers ordered for the current load would start when the peak is
// nearly over and be removed before the next one.
func TestWorkersStartBeforePeak(t *testing.T) {
	bounds := kumquatlug.Scaling{MinWorkers: 1, MaxWorkers: 20, BootTime: boot}
	z := New(bounds)
	predictive := simulate(waves, 300*kumquatlug.Second, func(now kumquatlug.Millis, v Load) (int, bool) {
		n, order := z.Update(now, v)
		if order {
			z.RecordOrder(now, n)
		}
		return n, order
	})
	reactive := simulate(waves, 300*kumquatlug.Second, func(_ kumquatlug.Millis, v Load) (int, bool) {
		return min(max(int(v.BusyWorkers/maxUtilization+1), 1), 20), true
	})
	if predictive.overloadedSeconds > reactive.overloadedSeconds/4 || predictive.orders > reactive.orders/4 {
		t.Errorf("predictive %+v, reactive %+v", predictive, reactive)
	}
}

// A constant load that the present workers can serve must cause no order.
func TestSteadyLoadNeedsNoOrder(t *testing.T) {
	z := New(kumquatlug.Scaling{MinWorkers: 2, MaxWorkers: 10, BootTime: boot})
	for now := kumquatlug.Millis(0); now < 100*kumquatlug.Second; now += kumquatlug.Second {
		if n, order := z.Update(now, Load{Workers: 5, BusyWorkers: 3.4}); order {
			t.Fatalf("%d workers ordered at %d ms", n, now)
		}
	}
}

// The load falls for good, and later the bounds do. The number of workers is lowered after a
// delay for the load, and at once for the bounds.
func TestScaleDownIsDelayed(t *testing.T) {
	z := New(kumquatlug.Scaling{MinWorkers: 2, MaxWorkers: 10, BootTime: boot})
	orderedAt := kumquatlug.Millis(0)
	for now := kumquatlug.Millis(0); now < 100*kumquatlug.Second && orderedAt == 0; now += kumquatlug.Second {
		busy := 5.0
		if now > 10*kumquatlug.Second {
			busy = 0.2
		}
		if n, order := z.Update(now, Load{Workers: 8, BusyWorkers: busy}); order {
			if n != 2 {
				t.Errorf("%d ordered", n)
			}
			z.RecordOrder(now, n)
			orderedAt = now
		}
	}
	if orderedAt < 38*kumquatlug.Second || orderedAt > 50*kumquatlug.Second {
		t.Errorf("number lowered at %d ms", orderedAt)
	}
	z.SetBounds(kumquatlug.Scaling{MinWorkers: 1, MaxWorkers: 1, BootTime: boot})
	if n, order := z.Update(orderedAt+kumquatlug.Second, Load{Workers: 2, BusyWorkers: 0.2}); !order || n != 1 {
		t.Errorf("got %d, %v, want 1, true", n, order)
	}
}
