package capacity

import (
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// repetitions is how often a processor time is measured. The minimum is used, since
// other load on the machine can only add to it.
const repetitions = 3

// processorTime returns the user and system time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read the processor time of the process")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// timeProcessor returns the processor time that the process uses during work.
func timeProcessor(work func() error) (time.Duration, error) {
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	if err := work(); err != nil {
		return 0, err
	}
	after, err := processorTime()
	return after - before, err
}

// minProcessorTime returns the minimum processor time of several runs of work.
func minProcessorTime(work func() error) (time.Duration, error) {
	var minimum time.Duration
	for i := range repetitions {
		duration, err := timeProcessor(work)
		if err != nil {
			return 0, err
		}
		if i == 0 || duration < minimum {
			minimum = duration
		}
	}
	return minimum, nil
}

// heapBytes returns the size of the live heap after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// stackBytes returns the memory in use by goroutine stacks.
func stackBytes() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.StackInuse)
}

// retainedHeap returns the bytes of heap retained by the value that build returns.
func retainedHeap(build func() (any, error)) (float64, error) {
	before := heapBytes()
	built, err := build()
	after := heapBytes()
	runtime.KeepAlive(built)
	return after - before, err
}
