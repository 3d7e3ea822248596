package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// Parameters of large bodies and of signals during stops.
const (
	// soakLargeMemoryMB is the memory limit of the gateways; the bodies of soakLargeUsers take twice
	// as much as they have for bodies.
	soakLargeMemoryMB = 128
	soakLargeUsers    = 24
	soakLargeDeadline = 4 * time.Second
	// soakSignalStream and soakLargeStream select the random streams.
	soakSignalStream = 61
	soakLargeStream  = 62
	// soakHalfWritten is how long a settings file stays half written.
	soakHalfWritten = 50 * time.Millisecond
)

// planSignals adds signals to a stop of a gateway: SIGHUP up to four times, each with or without a
// settings file that is half written, and SIGTERM again.
func (k *soak) planSignals(at time.Duration, p *process) {
	for range 1 + k.signals.IntN(4) {
		after := at + time.Duration(k.signals.Int64N(int64(k.grace-2*soakHalfWritten)))
		signal, half := syscall.SIGHUP, k.signals.IntN(2) == 0
		if k.signals.IntN(4) == 0 {
			signal = syscall.SIGTERM
		}
		k.add(after, fmt.Sprintf("%s %v during its stop, settings half written: %t", p.name, signal, half), func() {
			if half {
				k.truncateSettings(p)
			}
			// It fails once the process has exited.
			_ = p.cmd.Process.Signal(signal)
		})
	}
}

// truncateSettings leaves half of a settings file for soakHalfWritten.
func (k *soak) truncateSettings(p *process) {
	settings, err := os.ReadFile(p.settingsFile)
	if err == nil {
		err = os.WriteFile(p.settingsFile, settings[:len(settings)/2], 0o600)
	}
	if err != nil {
		k.Error(err)
		return
	}
	sleep(soakHalfWritten)
	if err := os.WriteFile(p.settingsFile, settings, 0o600); err != nil {
		k.Error(err)
	}
}

// runLargeClients sends bursts of large bodies in chunks, each to one gateway.
func (k *soak) runLargeClients(ctx context.Context, random *rand.Rand) {
	for burst := 0; ctx.Err() == nil; burst++ {
		sleep(time.Duration(300+random.IntN(1500)) * time.Millisecond)
		gateway := k.selectGateway(nil, random)
		if !k.inUse[gateway].Load() {
			continue
		}
		var group sync.WaitGroup
		for n := range soakLargeUsers {
			group.Go(func() {
				r := &soakRequest{id: fmt.Sprintf("large-%d-%d-%d", k.seed, burst, n), kind: "post", gateway: gateway, deadline: soakLargeDeadline, large: true, sent: time.Now()}
				r.response = sendLargeBody(k.gateways[gateway].clientAddr, r.id, largeBodyBytes, true, soakLargeDeadline)
				r.ended = time.Now()
				k.mu.Lock()
				defer k.mu.Unlock()
				k.results = append(k.results, r)
			})
		}
		group.Wait()
	}
}

// sampleMemory notes the largest resident size so far of the processes that run.
func (k *soak) sampleMemory() {
	for _, p := range k.gateways[:k.present.Load()] {
		// A process that has exited has no such figure.
		if kilobytes, err := peakMemory(p.cmd.Process.Pid); err == nil {
			k.mostMemory = max(k.mostMemory, kilobytes)
		}
	}
}

// checkMemory fails a run in which a gateway exceeded its memory limit, for which the platform kills it.
func (k *soak) checkMemory() []string {
	k.Logf("most memory of a gateway: %d MB", k.mostMemory>>10)
	if k.large && k.mostMemory > soakLargeMemoryMB<<10 {
		return []string{fmt.Sprintf("a gateway had %d KB of memory, its limit is %d MB", k.mostMemory, soakLargeMemoryMB)}
	}
	return nil
}
