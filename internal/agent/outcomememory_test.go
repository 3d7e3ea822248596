package agent

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Guards against a target that sends bodies without end to calls that run once, and whose agent keeps them all.
func TestEndlessOutcomesShareTheMemory(t *testing.T) {
	const (
		calls = 50
		// maxGrowth is the memory that the system may use on each VM.
		maxGrowth = 128 << 20
	)
	for _, form := range []standin.Endless{standin.EndlessBody, standin.EndlessChunks} {
		t.Run(string(form), func(t *testing.T) {
			target, err := standin.NewEndlessServer(standin.EndlessConfig{Form: form, MaxBytes: 64 << 20})
			if err != nil {
				t.Fatal(err)
			}
			defer target.Close()
			a := newServiceAgent(t, "http://"+target.Address())
			grown := standin.HeapGrowth(func() {
				var group sync.WaitGroup
				for range calls {
					group.Go(func() {
						memory := a.work.outcomes.begin()
						defer memory.end()
						_, err := a.work.callTarget(t.Context(), kumquatlug.NewCall(http.MethodPost, "/x", http.Header{}, nil), memory)
						if !errors.Is(err, kumquatlug.ErrTooLarge) || kumquatlug.ExecutionOf(err) != kumquatlug.ExecutionUnknown {
							t.Error(err)
						}
					})
				}
				group.Wait()
			})
			t.Logf("the heap grew by %d MB", grown>>20)
			if grown > maxGrowth {
				t.Errorf("the heap grew by %d MB, bound %d MB", grown>>20, maxGrowth>>20)
			}
			if !a.work.outcomes.bytes.TryAcquire(maxOutcomesBytes) {
				t.Error("memory is still reserved")
			}
		})
	}
}

// Guards against small responses that are lost, or wait, while large ones take up the memory, and against large ones that
// don't wait for others that end.
func TestSmallOutcomesAreReadBesideLargeOnes(t *testing.T) {
	m := newOutcomeMemory()
	large := strings.Repeat("x", maxRunOnceResponseBytes)
	reservations := []*outcomeReservation{m.begin(), m.begin()}
	for _, r := range reservations {
		if _, err := r.readAll(strings.NewReader(large)); err != nil {
			t.Fatal(err)
		}
	}
	waited := make(chan struct{})
	go func() {
		defer close(waited)
		third := m.begin()
		defer third.end()
		if _, err := third.readAll(strings.NewReader(large)); !errors.Is(err, kumquatlug.ErrTooLarge) {
			t.Errorf("third large response: %v", err)
		}
	}()
	for range 20 {
		<-time.After(outcomeWait.Duration() / 40)
		small, began := m.begin(), time.Now()
		if body, err := small.readAll(strings.NewReader(large[:freeOutcomeBytes])); err != nil || len(body) != freeOutcomeBytes {
			t.Errorf("small response: %d bytes, %v", len(body), err)
		}
		if took := time.Since(began); took > outcomeWait.Duration()/4 {
			t.Errorf("a small response took %v", took)
		}
		small.end()
	}
	<-waited
	time.AfterFunc(outcomeWait.Duration()/4, reservations[0].end)
	if _, err := m.begin().readAll(strings.NewReader(large)); err != nil {
		t.Errorf("while the first ends: %v", err)
	}
	if _, err := newOutcomeMemory().begin().readAll(strings.NewReader(large + "x")); !errors.Is(err, kumquatlug.ErrTooLarge) {
		t.Errorf("response of more than the largest size: %v", err)
	}
}
