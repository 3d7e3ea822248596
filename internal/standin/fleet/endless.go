package fleet

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin"
)

const (
	// maxEndlessBytes is what a worker sends if its connection isn't closed.
	maxEndlessBytes = 64 << 20
	// endlessDripPause is the time between two bytes of FaultEndlessDrip.
	endlessDripPause = 10 * time.Millisecond
	// endlessBlockPause is the time between two blocks of 64 KB of a body: a plain one is relayed until
	// the timeout of its route, and would take the processors from the gateways under test.
	endlessBlockPause = 20 * time.Millisecond
)

// pacedWriter pauses after each write.
type pacedWriter struct{ net.Conn }

func (w pacedWriter) Write(b []byte) (int, error) {
	n, err := w.Conn.Write(b)
	time.Sleep(endlessBlockPause)
	return n, err
}

// writeEndless sends bytes without end in response to the attempt with this ID, empty for a report.
// They have this form if the fault concerns the body. It returns false if there is no such fault.
func (w *Worker) writeEndless(out http.ResponseWriter, id string, fault Fault, form standin.Endless) bool {
	pause := time.Duration(0)
	switch fault {
	case FaultEndlessHead:
		form = standin.EndlessHeaderLine
	case FaultEndlessBody:
	case FaultEndlessDrip:
		pause = endlessDripPause
	default:
		return false
	}
	headers := ""
	if id != "" {
		headers = "Attempt-Id: " + id + "\r\nServer-Stamp: " + w.config.ID + "." + id + "\r\n"
	}
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return true
	}
	defer func() { _ = conn.Close() }()
	began := time.Now()
	peer := io.Writer(conn)
	if fault == FaultEndlessBody {
		peer = pacedWriter{conn}
	}
	// An error means that the caller has closed the connection.
	sent, _ := form.Write(peer, headers, maxEndlessBytes, pause)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endlessResponses++
	w.endlessBytes = max(w.endlessBytes, sent)
	w.endlessTime = max(w.endlessTime, time.Since(began))
	return true
}

// EndlessResponses returns the number of responses without end that have ended, the most bytes sent of
// one, and the longest time until its connection was closed.
func (w *Worker) EndlessResponses() (count int, maxBytes int64, longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endlessResponses, w.endlessBytes, w.endlessTime
}
