package fleet

import "time"

// Pause makes the worker send nothing for d: it accepts connections, answers
// neither requests nor control calls, and sends no events. Then it continues
// where it was. A pause extends an earlier one that would end sooner.
func (w *Worker) Pause(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := time.Now().Add(d); until.After(w.pausedUntil) {
		w.pausedUntil = until
	}
}

// awaitPauseEnd blocks until the worker is not paused. A paused worker does not
// notice that a caller disconnects.
func (w *Worker) awaitPauseEnd() {
	for {
		w.mu.Lock()
		left := time.Until(w.pausedUntil)
		w.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}
