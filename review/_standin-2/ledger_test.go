package standin2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// ledger records what clients sent, what they were answered and what workers ran, and writes it to a file.
type ledger struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newLedger(path string) (*ledger, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &ledger{file: f, started: time.Now()}, nil
}

// note writes one line.
func (l *ledger) note(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(format, values...)
}

func (l *ledger) write(format string, values ...any) {
	fmt.Fprintf(l.file, "%9.3f  ", time.Since(l.started).Seconds())
	fmt.Fprintf(l.file, format+"\n", values...)
}
