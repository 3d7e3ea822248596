package standin

import (
	"runtime"
	"time"
)

// heapInterval is the time between two looks at the heap.
const heapInterval = 2 * time.Millisecond

// HeapGrowth returns by how many bytes the heap of this process grows at most while f runs, garbage
// that was not yet collected included.
func HeapGrowth(f func()) int64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	before, highest := memory.HeapAlloc, memory.HeapAlloc
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		select {
		case <-done:
			return int64(highest - before)
		case <-time.After(heapInterval):
			runtime.ReadMemStats(&memory)
			highest = max(highest, memory.HeapAlloc)
		}
	}
}
