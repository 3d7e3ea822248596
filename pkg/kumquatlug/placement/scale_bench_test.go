package placement

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/coordinator"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/decodeslots"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/pace"
)

// scalePlacer returns a Placer with 10,000 engines, each of which has reported its load.
func scalePlacer() *Placer {
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(6600, 3400))
	for _, w := range p.ordered {
		w.otherRequests, w.reportedAt = 1, 9_000
	}
	return p
}

// BenchmarkScaleChoosePrompt chooses engines for a prompt among 10,000, which a gateway does
// for each request.
func BenchmarkScaleChoosePrompt(b *testing.B) {
	p := scalePlacer()
	for n := 0; b.Loop(); n++ {
		if _, found := p.ChoosePrompt(10_000+kumquatlug.Millis(n/100), Query{Prompt: document(n, n)}); !found {
			b.Fatal("no engine")
		}
	}
}

// BenchmarkScaleMeasure takes one sample of 10,000 engines, every 20 ms.
func BenchmarkScaleMeasure(b *testing.B) {
	p := scalePlacer()
	for n := 0; b.Loop(); n++ {
		p.Measure(10_000 + kumquatlug.Millis(20*n))
	}
}

// BenchmarkScaleRetryRequests looks for permit requests to repeat, every 20 ms.
func BenchmarkScaleRetryRequests(b *testing.B) {
	p := scalePlacer()
	for n := 0; b.Loop(); n++ {
		p.RetryRequests(10_000 + kumquatlug.Millis(20*n))
	}
}

// BenchmarkScaleSync applies the unchanged rows of 10,000 engines.
func BenchmarkScaleSync(b *testing.B) {
	members := engines(6600, 3400)
	p := scalePlacer()
	for n := 0; b.Loop(); n++ {
		p.Sync(10_000+kumquatlug.Millis(n), members)
	}
}

// activeScalePlacer is scalePlacer with the speeds of all engines known.
func activeScalePlacer() *Placer {
	p := scalePlacer()
	speeds := map[string]float64{}
	for i, w := range p.ordered {
		speeds[w.member.Worker.ID()] = 0.5 + float64(i%100)/100
	}
	setSpeeds(p, 9_000, speeds)
	p.demand.pauseLimit = 150
	for range 40 {
		p.Speeds().Observe(9_000, "g0", pace.KindDecode, 40)
	}
	return p
}

// BenchmarkScaleChoosePromptSpeeds is BenchmarkScaleChoosePrompt where speeds are known.
func BenchmarkScaleChoosePromptSpeeds(b *testing.B) {
	p := activeScalePlacer()
	for n := 0; b.Loop(); n++ {
		if _, found := p.ChoosePrompt(10_000+kumquatlug.Millis(n), Query{Prompt: document(n, n), MaxEventGap: 150}); !found {
			b.Fatal("no engine")
		}
	}
}

// BenchmarkScaleMeasureSpeeds is BenchmarkScaleMeasure where speeds are known.
func BenchmarkScaleMeasureSpeeds(b *testing.B) {
	p := activeScalePlacer()
	for n := 0; b.Loop(); n++ {
		p.Measure(10_000 + kumquatlug.Millis(20*n))
	}
}

// BenchmarkScaleRejoin takes 5,000 of 10,000 engines out and back in, as when a data centre is
// cut off from the store.
func BenchmarkScaleRejoin(b *testing.B) {
	members := engines(6600, 3400)
	p := scalePlacer()
	for n := 0; b.Loop(); n++ {
		p.Sync(10_000+kumquatlug.Millis(n), members[:5000])
		p.Sync(10_000+kumquatlug.Millis(n), members)
	}
}

// BenchmarkScaleChoosePromptSlots is BenchmarkScaleChoosePrompt where 2,300 gateways share the
// decode slots. With changing gateways, the coordinators of all engines have to be determined
// again for each choice.
func BenchmarkScaleChoosePromptSlots(b *testing.B) {
	for _, changing := range []bool{false, true} {
		b.Run(fmt.Sprint("changing=", changing), func(b *testing.B) {
			known := coordinator.New("front-0")
			var names []string
			for i := range 2300 {
				names = append(names, fmt.Sprint("front-", i))
			}
			known.Set(names)
			p := New(Config{Zone: "a", Coordinators: known})
			p.Sync(0, engines(6600, 3400))
			p.ShareSlots(len(names), decodeslots.Config{Self: "front-0", Coordinators: known})
			for n := 0; b.Loop(); n++ {
				if changing {
					known.Set(names)
				}
				if _, found := p.ChoosePrompt(10_000+kumquatlug.Millis(n/100), Query{Prompt: document(n, n)}); !found {
					b.Fatal("no engine")
				}
			}
		})
	}
}
