package placement

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// BenchmarkChoosePrompt chooses engines at a site with 35 prefill and 18 decode engines, without
// and with speeds. A gateway with 0.109 of a core does so some 20 times per second.
func BenchmarkChoosePrompt(b *testing.B) {
	for _, known := range []bool{false, true} {
		b.Run(fmt.Sprint("speeds=", known), func(b *testing.B) {
			p := New(Config{Zone: "a"})
			p.Sync(0, engines(35, 18))
			if known {
				speeds := map[string]float64{}
				for i, w := range p.ordered {
					speeds[w.member.Worker.ID()] = 0.5 + float64(i)/35
				}
				setSpeeds(p, 10_000, speeds)
			}
			for n := 0; b.Loop(); n++ {
				if _, found := p.ChoosePrompt(10_000+kumquatlug.Millis(n/100), Query{Prompt: document(n, n), MaxEventGap: 150}); !found {
					b.Fatal("no engine")
				}
			}
		})
	}
}
