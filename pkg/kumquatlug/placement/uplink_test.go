package placement

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// On a low-bandwidth link, sending a long prompt to a second engine may take longer than
// running it on one. The choice must weigh that, and be as before where it costs nothing.
func TestSecondBodyCountsAgainstTwoEngines(t *testing.T) {
	for _, c := range []struct {
		ms          float64
		prefillOnly bool
	}{{0, true}, {1000, false}} {
		p := New(Config{Zone: "a"})
		p.Sync(0, engines(2, 2))
		choice, found := p.ChoosePrompt(1, Query{Prompt: document(1, 1), SecondBodyMs: c.ms})
		if !found || choice.PrefillOnly() != c.prefillOnly {
			t.Errorf("a second body costs %v ms: prefilled separately: %v", c.ms, choice.PrefillOnly())
		}
	}
}

// The bodies for two plain requests wait for the gateway's link. Their worker has
// received nothing, and must not be excluded as unresponsive for that.
func TestPostponedAttemptsAreNotOverdue(t *testing.T) {
	for _, postponed := range []bool{false, true} {
		p := New(Config{Zone: "a"})
		p.Sync(0, []kumquatlug.Member{member("w", "a", "", 6)})
		p.CheckLiveness(1)
		for range 2 {
			c, _ := p.ChoosePlain(1, Query{})
			a := p.Begin(1, c, kumquatlug.Prompt{})
			if postponed {
				p.Postpone(2000, a)
			}
		}
		excluded := 0
		for now := kumquatlug.Millis(20); now < 1500; now += 20 {
			excluded += len(p.CheckLiveness(now))
		}
		if (excluded > 0) == postponed {
			t.Errorf("postponed: %v: excluded %d times", postponed, excluded)
		}
	}
}
