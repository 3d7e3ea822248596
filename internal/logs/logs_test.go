package logs

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedWriter is an output whose reader has stopped reading.
type blockedWriter struct {
	release chan struct{}
	buffer  bytes.Buffer
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.release
	return s.buffer.Write(line)
}

// If standard output is no longer read, a request that logs must not block, and the dropped
// lines must be counted once reading resumes.
func TestLoggingDoesNotBlock(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out)
	stop := make(chan struct{})
	go w.Run(stop)
	logger := New(w, zapcore.InfoLevel)
	start := time.Now()
	const lines = maxBufferedLines + 1000
	for range lines {
		logger.Info("line", zap.String("request", "r"))
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("took %v for %d lines", elapsed, lines)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(out.release)
	close(stop)
	w.Wait(5 * time.Second)
	if !strings.Contains(out.buffer.String(), "log lines left out") {
		t.Error("the dropped lines are not reported")
	}
}

func TestErrorsAreLoggedOnOneLine(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	stop := make(chan struct{})
	New(w, zapcore.InfoLevel).Warn("failed", Error(errors.New("why")), Error(nil))
	close(stop)
	w.Run(stop)
	if text := out.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, `"error":"why"`) {
		t.Errorf("output %q", text)
	}
}
