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

// ringLines is how many lines wait at most: two seconds at 2,000 lines a second
// of some 300 bytes, 1.2 MB.
const ringLines = 4096

// Writer writes lines through a bounded ring.
type Writer struct {
	lines chan []byte
	out   io.Writer
	left  atomic.Int64
	done  chan struct{}
}

// NewWriter returns a writer to out. [Writer.Run] writes what it takes.
func NewWriter(out io.Writer) *Writer {
	return &Writer{lines: make(chan []byte, ringLines), out: out, done: make(chan struct{})}
}

// Write takes a line, or counts it as left out.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.left.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: the lines are on their way.
func (w *Writer) Sync() error { return nil }

// Left returns how many lines were left out so far and not yet told.
func (w *Writer) Left() int64 { return w.left.Load() }

// Run writes lines until stop is closed, then what still waits.
func (w *Writer) Run(stop <-chan struct{}) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-stop:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			return
		}
	}
}

// Wait waits until Run has written everything, or for at most a span.
func (w *Writer) Wait(span time.Duration) {
	select {
	case <-w.done:
	case <-time.After(span):
	}
}

func (w *Writer) write(line []byte) {
	// Nobody can be told that standard output is broken.
	_, _ = w.out.Write(line)
	if left := w.left.Swap(0); left > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines left out\",\"count\":%d}\n", left)
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
