package fleet

import (
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// writePartialHead sends a part of the head of a response to the attempt with this ID. It returns false
// if there is no such fault.
func (w *Worker) writePartialHead(out http.ResponseWriter, id string, fault Fault) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s.%s\r\nServer-Load: 1,0,8\r\nContent-Length: 1234\r\n\r\n", id, w.config.ID, id)
	switch fault {
	case FaultPartialHead, FaultStalledHead:
		head = head[:xxhash.Sum64String(id)%uint64(len(head))]
	case FaultUnsigned:
		head = fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n\r\n", id)
	default:
		return false
	}
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return true
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, head)
	w.mu.Lock()
	w.partialHeads++
	w.mu.Unlock()
	if err == nil && fault == FaultStalledHead {
		// It ends when the caller closes the connection.
		_, _ = io.Copy(io.Discard, conn)
	}
	return true
}

// PartialHeads returns the number of responses that stopped within their head.
func (w *Worker) PartialHeads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partialHeads
}
