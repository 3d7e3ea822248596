// Package logs writes structured log lines to standard output without blocking the caller.
//
// If the reader of standard output stops reading, the pipe fills up and each goroutine that
// logs would block in the middle of its request. Lines are therefore put into a bounded
// buffer and written by one goroutine. Lines that don't fit are dropped and counted, and
// the count is written once there is room again.
//
// The package also reads log lines: [ReadTimeline] collects those about one request, worker
// or VM, [ReadLosses] counts the requests that were answered late or not at all.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxBufferedLines is the capacity of the buffer: two seconds at 2,000 lines per second of
// about 300 bytes, 1.2 MB.
const maxBufferedLines = 4096

// Writer writes lines through a bounded buffer.
type Writer struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer to out. [Writer.Run] must run for lines to be written.
func NewWriter(out io.Writer) *Writer {
	return &Writer{lines: make(chan []byte, maxBufferedLines), out: out, done: make(chan struct{})}
}

// Write buffers a line, or drops and counts it if the buffer is full. It never blocks or
// fails.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: [Writer.Run] writes the buffered lines.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of dropped lines that are not yet reported in the output.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until stop is closed, then the lines still in the buffer.
func (w *Writer) Run(stop <-chan struct{}) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-stop:
			for len(w.lines) > 0 {
				w.writeLine(<-w.lines)
			}
			return
		}
	}
}

// Wait waits until Run has written everything, for at most timeout.
func (w *Writer) Wait(timeout time.Duration) {
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) writeLine(line []byte) {
	// A failure of standard output can't be reported anywhere.
	_, _ = w.out.Write(line)
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines left out\",\"count\":%d}\n", dropped)
	}
}

// New returns a logger that writes JSON lines to w.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), w, level))
}

// Error returns a field with the message of err, none for nil. The verbose form of an error
// has a stack trace with source files, many times as long as the rest of the line.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
