package standin2

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Parameters of killedAfterRelease.
const (
	// releasedAt is when the first of two releases begins, releaseSize how many workers each replaces, releaseGap the time
	// between two of them, releasePause that between the releases, and drainTime how long a worker serves after it has
	// begun to drain.
	releasedAt   = 4 * time.Second
	releaseSize  = 5
	releaseGap   = time.Second
	releasePause = 2 * time.Second
	drainTime    = 2500 * time.Millisecond
	// killAt is when all fronts lose power, darkFor for how long.
	killAt  = 21 * time.Second
	darkFor = 1750 * time.Millisecond
	// contact is contact_ms.
	contact     = 3 * time.Second
	restartLast = 31 * time.Second
)

// retryWaits are the waits of a client before it takes a stream up. At the first try no front is there.
var retryWaits = []time.Duration{300 * time.Millisecond, darkFor + contact + 200*time.Millisecond}

// killedAfterRelease plays resumable streams while most workers are replaced, one after the other, by workers of a newer
// software, in two releases. Some seconds later all fronts lose power.
func killedAfterRelease(d *deployment, trouble bool) (string, error) {
	var old []*member
	for i := range 12 {
		stage := "prefill"
		if i%3 == 0 {
			stage = "decode"
		}
		m, err := d.newMember(fmt.Sprintf("i-lm%d", i), "lm", stage, "v1", longEvents, longDelay)
		if err != nil {
			return "", err
		}
		old = append(old, m)
	}
	d.setConfig([]map[string]any{{
		"kind": "streaming", "prefix": "/chat/", "service": "lm", "timeout_ms": 15000, "target_latency_ms": 150, "max_attempts": 2, "priority": 1,
		"resumable": true, "sticky": true, "gap_target_ms": 200,
	}}, []map[string]any{{
		"name": "lm", "health_path": "/healthz", "max_connections": 370,
		"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 370000, "stage_switch_s": 3},
	}}, 1<<20)
	for _, name := range []string{"edge-1", "edge-2"} {
		f, err := d.newFront(name, 8)
		if err != nil {
			return "", err
		}
		if err := f.waitReady(); err != nil {
			return "", err
		}
	}
	started := time.Now()
	var work sync.WaitGroup
	var mu sync.Mutex
	var killed time.Time
	if trouble {
		work.Go(func() {
			time.Sleep(releasedAt)
			for i, m := range old[:2*releaseSize] {
				if i == releaseSize {
					time.Sleep(releasePause)
				}
				d.replace(m, "v2")
				time.Sleep(releaseGap)
			}
		})
		work.Go(func() {
			time.Sleep(killAt)
			mu.Lock()
			killed = time.Now()
			mu.Unlock()
			for _, f := range d.fronts {
				f.signal(syscall.SIGKILL)
			}
			time.Sleep(darkFor)
			for _, f := range d.fronts {
				<-f.done
				if err := f.start(); err != nil {
					d.ledger.note("%v", err)
				}
			}
		})
	}
	var all []*takenUp
	for n := range takeUpClients {
		work.Go(func() {
			time.Sleep(time.Duration(n) * 60 * time.Millisecond)
			for i := 0; time.Since(started) < restartLast; i++ {
				s := &takenUp{id: fmt.Sprintf("s%02d-%02d", n, i), began: time.Now()}
				s.playPatiently(d, n)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	work.Wait()
	// The rule binds machines in touch.
	return judgeRestarted(d.ledger, all, killed.Add(darkFor+contact)), nil
}

// replace starts a worker of another software version and empties this one, as a release does.
func (d *deployment) replace(m *member, version string) {
	if _, err := d.newMember(m.id+"-new", "lm", m.worker().Stage(), version, longEvents, longDelay); err != nil {
		d.ledger.note("%v", err)
	}
	m.register("draining")
	time.AfterFunc(drainTime, func() {
		m.crash()
		d.store.Delete("servers", m.id)
	})
}

// playPatiently asks for a stream. If it breaks off, its client takes it up at the other front, after retryWaits.
func (s *takenUp) playPatiently(d *deployment, n int) {
	f := d.fronts[n%len(d.fronts)]
	last, _, status, _, err := streamFrom(f.clientAddr, s.id, s.id, 0, time.Now())
	endedAt := time.Now()
	d.ledger.note("stream %s at %s: status %d, up to event %d, error %v", s.id, f.name, status, last, err)
	s.started = last > 0
	if s.complete = last == longEvents; s.complete || !s.started {
		return
	}
	for try, wait := range retryWaits {
		time.Sleep(time.Until(endedAt.Add(wait)))
		f = d.fronts[(n+try+1)%len(d.fronts)]
		id, at := fmt.Sprintf("%s-%d", s.id, try+1), time.Now()
		got, _, status, retry, err := streamFrom(f.clientAddr, id, s.id, last, time.Now())
		d.ledger.note("stream %s, attempt %s at %s after event %d: status %d, up to event %d, Retry-After %v, error %v", s.id, id, f.name, last, status, got, retry, err)
		if status != 0 {
			s.takenUp, s.takenUpAt = true, at
		}
		s.wentOn = s.wentOn || got > last
		last = max(last, got)
		if s.complete = last == longEvents; s.complete {
			return
		}
	}
}

// judgeRestarted checks LOST for the streams that were taken up and for the new ones, which began at machines in touch.
func judgeRestarted(l *ledger, all []*takenUp, inTouch time.Time) string {
	fresh, began, taken, wentOn := 0, 0, 0, 0
	for _, s := range all {
		switch {
		case s.takenUpAt.After(inTouch):
			taken++
			if s.wentOn {
				wentOn++
			}
		case !s.takenUp && s.began.After(inTouch):
			fresh++
			if s.started {
				began++
			}
		}
	}
	l.note("%d streams taken up at machines in touch, of which %d went on; %d new ones there, of which %d began", taken, wentOn, fresh, began)
	if taken < minTakenUp || 2*wentOn*fresh >= taken*began {
		return ""
	}
	return fmt.Sprintf("LOST: of %d streams that clients took up again, %d went on; of %d new ones %d began", taken, wentOn, fresh, began)
}
