// Package logs writes structured lines to standard output without ever holding
// a request up.
//
// It answers a reader of standard output that stops reading: the pipe fills, and
// each goroutine that logs would wait for it with its request in hand. Lines go
// into a bounded ring instead and are written by one goroutine; what does not
// fit is counted, and the count is written once there is room again.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxBufferedLines is how many lines wait at most: two seconds at 2,000 lines a second
// of some 300 bytes, 1.2 MB.
const maxBufferedLines = 4096

// Writer writes lines through a bounded ring.
type Writer struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer to out. [Writer.Run] writes what it takes.
func NewWriter(out io.Writer) *Writer {
	return &Writer{lines: make(chan []byte, maxBufferedLines), out: out, done: make(chan struct{})}
}

// Write takes a line, or counts it as left out.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: the lines are on their way.
func (w *Writer) Sync() error { return nil }

// Left returns how many lines were left out so far and not yet told.
func (w *Writer) Left() int64 { return w.dropped.Load() }

// Run writes lines until stop is closed, then what still waits.
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

// Wait waits until Run has written everything, or for at most a span.
func (w *Writer) Wait(timeout time.Duration) {
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) writeLine(line []byte) {
	// Nobody can be told that standard output is broken.
	_, _ = w.out.Write(line)
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines left out\",\"count\":%d}\n", dropped)
	}
}

// New returns a logger of JSON lines to w.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), w, level))
}

// Error returns err as one line of text, empty for none. An error's stack names
// source files and is many times as long as the line that it is in.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
