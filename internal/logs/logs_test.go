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

// stuck is a reader of standard output that stopped reading.
type stuck struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *stuck) Write(line []byte) (int, error) {
	<-s.release
	return s.text.Write(line)
}

// Nobody reads standard output any more. A request that logs must not wait for
// it, and when reading goes on the lines that were left out must be counted.
func TestLoggingNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out)
	stop := make(chan struct{})
	go w.Run(stop)
	logger := New(w, zapcore.InfoLevel)
	begun := time.Now()
	const lines = ringLines + 1000
	for range lines {
		logger.Info("line", zap.String("request", "r"))
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("%v for %d lines", took, lines)
	}
	if w.Left() == 0 {
		t.Error("no line was left out")
	}
	close(out.release)
	close(stop)
	w.Wait(5 * time.Second)
	if !strings.Contains(out.text.String(), "log lines left out") {
		t.Error("the lines left out are not told")
	}
}

func TestErrorsAreOneLine(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	stop := make(chan struct{})
	New(w, zapcore.InfoLevel).Warn("failed", Error(errors.New("why")), Error(nil))
	close(stop)
	w.Run(stop)
	if text := out.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, `"error":"why"`) {
		t.Errorf("%q", text)
	}
}
