package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/internal/standin"
)

// endings are how responses with a fault end, where they have neither a length nor chunks.
var endings = map[Fault]standin.Ending{
	FaultUnframed: standin.EndingConnection, FaultUnframedCut: standin.EndingInside, FaultUnframedReset: standin.EndingReset,
}

// servePrefill prefills a prompt and returns the handle of its KV cache.
func (w *Worker) servePrefill(out http.ResponseWriter, id, stage string, fault Fault, r *http.Request) {
	if stage != "prefill" {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if fault == FaultSilent {
		<-r.Context().Done()
		return
	}
	if w.writeEndless(out, id, fault, standin.EndlessJSON) {
		return
	}
	time.Sleep(w.config.Delay)
	w.awaitPauseEnd()
	w.mu.Lock()
	w.prefills++
	handle := fmt.Sprintf("h-%s-%d", id, w.prefills)
	w.handles[handle] = id
	w.mu.Unlock()
	if w.writePartialHead(out, id, fault) {
		return
	}
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(out).Encode(map[string]any{"kv_handle": handle, "tokens": 1, "version": 1})
}

// serveRequest runs a request at this stage and counts the run.
func (w *Worker) serveRequest(out http.ResponseWriter, r *http.Request, id, stage string, fault Fault, bodyBytes int) {
	w.mu.Lock()
	w.runs[id]++
	w.running++
	serverLoad := fmt.Sprintf("%d,0,%d", w.running, w.config.Slots)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	out.Header().Set("Server-Stamp", w.config.ID+"."+id)
	out.Header().Set("Server-Load", serverLoad)
	switch fault {
	case FaultLost:
		panic(http.ErrAbortHandler)
	case FaultSilent:
		<-r.Context().Done()
		return
	case FaultError:
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	if w.writePartialHead(out, id, fault) {
		return
	}
	form := standin.EndlessChunks
	if stage != "" {
		form = standin.EndlessEvent
	}
	if w.writeEndless(out, id, fault, form) {
		return
	}
	if stage != "" {
		w.streamEvents(out, r, id, fault)
		return
	}
	w.writeBody(out, r, id, fault, bodyBytes)
}

// streamEvents sends the events after the one in the Last-Event-Id header.
func (w *Worker) streamEvents(out http.ResponseWriter, r *http.Request, id string, fault Fault) {
	out.Header().Set("Content-Type", "text/event-stream")
	ending := endings[fault]
	if ending != standin.EndingFramed {
		standin.Unframe(out)
	}
	flush := http.NewResponseController(out)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	end := make(chan struct{})
	w.mu.Lock()
	w.streamEnds[id] = end
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.streamEnds[id] == end {
			delete(w.streamEnds, id)
		}
	}()
	for n := last + 1; n <= w.config.Events; n++ {
		if !wait(r, w.config.Delay) {
			return
		}
		w.awaitPauseEnd()
		select {
		case <-end:
			// The stream was moved, so it closes without its last events.
			panic(http.ErrAbortHandler)
		default:
		}
		if n == last+1 && w.config.OnAnswer != nil && w.config.OnAnswer(promptParts(r)) {
			panic(http.ErrAbortHandler)
		}
		w.mu.Lock()
		if w.streamed[id] == nil {
			w.streamed[id] = map[int]bool{}
		}
		w.streamed[id][n] = true
		w.mu.Unlock()
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n)
		if n == last+2 && (fault == FaultTruncate || ending.Incomplete()) {
			standin.WriteLast(out, []byte(event[:1+int(xxhash.Sum64String(id)%uint64(len(event)-1))]), ending)
			if fault == FaultTruncate {
				panic(http.ErrAbortHandler)
			}
			return
		}
		_, _ = io.WriteString(out, event)
		_ = flush.Flush()
	}
}

// ResponseBody returns the response of a plain worker to the attempt with this ID.
func ResponseBody(id string) string { return strings.Repeat("answer to "+id+"\n", 40) }

// writeBody sends the response of a plain worker.
func (w *Worker) writeBody(out http.ResponseWriter, r *http.Request, id string, fault Fault, bodyBytes int) {
	if !wait(r, w.config.Delay) {
		return
	}
	w.awaitPauseEnd()
	if w.config.OnAnswer != nil && w.config.OnAnswer([]string{r.URL.Path, id}) {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Request-Size", strconv.Itoa(bodyBytes))
	text := ResponseBody(id)
	if ending := endings[fault]; ending != standin.EndingFramed {
		if ending == standin.EndingInside {
			ending = standin.EndingReset
		}
		standin.WriteEnding(out, http.StatusOK, []byte(text), ending)
		return
	}
	out.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault == FaultTruncate {
		_, _ = io.WriteString(out, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(out, text)
	if fault == FaultDuplicate {
		writeSecondResponse(out, id)
	}
}

// writeSecondResponse sends the response again on the same connection.
func writeSecondResponse(out http.ResponseWriter, id string) {
	text := ResponseBody(id)
	flush := http.NewResponseController(out)
	_ = flush.Flush()
	conn, _, err := flush.Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: late\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
	// The connection stays open for a while, as it would at a real worker.
	time.AfterFunc(2*time.Second, func() { _ = conn.Close() })
}

// wait blocks for d and returns false if the caller disconnects before.
func wait(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}
