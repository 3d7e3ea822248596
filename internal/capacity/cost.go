package capacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// runs is how often a processor time is taken; the least of them counts, since
// whatever else the machine does can only add to it.
const runs = 3

// processor returns the processor time that this process has used.
func processor() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read the processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// spent returns the processor time that do takes.
func spent(do func() error) (time.Duration, error) {
	before, err := processor()
	if err != nil {
		return 0, err
	}
	if err := do(); err != nil {
		return 0, err
	}
	after, err := processor()
	return after - before, err
}

// leastSpent returns the least processor time of a few runs of do.
func leastSpent(do func() error) (time.Duration, error) {
	var least time.Duration
	for i := range runs {
		took, err := spent(do)
		if err != nil {
			return 0, err
		}
		if i == 0 || took < least {
			least = took
		}
	}
	return least, nil
}

// heap returns the bytes on the heap that are still referred to.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// stacks returns the bytes of goroutines' stacks.
func stacks() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.StackInuse)
}

// kept returns how much heap is held by what build returns.
func kept(build func() (any, error)) (float64, error) {
	before := heap()
	built, err := build()
	after := heap()
	runtime.KeepAlive(built)
	return after - before, err
}
