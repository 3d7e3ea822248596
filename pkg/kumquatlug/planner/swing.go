package planner

import (
	"cmp"
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// SwingConfig configures a [Swing]. A zero field selects its default, except Part, which
// has none.
type SwingConfig struct {
	// Part is the base split: the share of engines that run prefill while decode is
	// not short of slots.
	Part float64
	// Full is the slot utilization above which decode gets more engines, Settled the
	// utilization below which it gets fewer. Defaults 0.9 and 0.7: a change between
	// these gains nothing.
	Full, Settled float64
	// Rise limits the expected number of occupied slots, as a multiple of the number
	// occupied now. Default 1.4.
	Rise float64
	// Busy is the maximum utilization of the remaining prefill engines after one was
	// moved to decode. Default 0.85.
	Busy float64
	// Short and Spare are how long decode must have too few slots, or more than it
	// needs, before a change. Defaults 1 s and 1 s: bursts of three seconds that the
	// slots can absorb look like a shortage for less than that.
	Short, Spare kumquatlug.Millis
	// Back is how long no prompt must be late before an engine that was moved to
	// prefill returns to decode without being needed there. Default 3.5 s: longer than
	// the pause between two bursts, which arrive every three seconds.
	Back kumquatlug.Millis
	// Settle is the time after a change during which no other change is made. Default
	// 3.5 s: a change takes three seconds, and its effect is visible then.
	Settle kumquatlug.Millis
	// More is the maximum number of additional decode engines relative to the base
	// split, as a share of all engines. Default 0.085: one of twelve. With two, the
	// prompts of bursts in between are late, and the split stays that way if the lease
	// holder fails meanwhile.
	More float64
}

func (c SwingConfig) withDefaults() SwingConfig {
	c.Full = cmp.Or(c.Full, 0.9)
	c.Settled = cmp.Or(c.Settled, 0.7)
	c.Rise = cmp.Or(c.Rise, 1.4)
	c.Busy = cmp.Or(c.Busy, 0.85)
	c.Short = cmp.Or(c.Short, 1000)
	c.Spare = cmp.Or(c.Spare, 1000)
	c.Back = cmp.Or(c.Back, 3500)
	c.Settle = cmp.Or(c.Settle, 3500)
	c.More = cmp.Or(c.More, 0.085)
	return c
}

// SwingView is the load that a [Swing] bases its decision on.
type SwingView struct {
	// Readers and Writers are the numbers of prefill and decode engines. Engines with
	// a pending change count in their new role.
	Readers, Writers int
	// Reading is the share of prefill engines that are busy.
	Reading float64
	// Taken is the number of occupied decode slots and Coming the number expected when
	// a change takes effect, both in units of one engine's slots.
	Taken, Coming float64
}

// Swing decides which share of a group's engines should run prefill while the load
// alternates every ten to twenty seconds between long prompts and long outputs.
//
// With a fixed split one side overflows for half of the time: streams wait for slots
// while prefill engines are idle, then prompts are refused while slots are idle. A split
// based on demand averaged over seconds follows each fluctuation and is late. A Swing
// therefore departs from the fixed split only if streams will be short of slots by the
// time a change takes effect. It moves as many prefill engines to decode as the streams
// need and the prompts can spare, and returns them as soon as the slots are not needed.
//
// A Swing is not safe for concurrent use.
type Swing struct {
	config SwingConfig
	share  float64
	// imbalance is 1 if there are too few decode engines, -1 if there are too many;
	// imbalanceSince is when it took this value.
	imbalance      int
	imbalanceSince kumquatlug.Millis
	changedAt      kumquatlug.Millis
}

// NewSwing returns a Swing that starts with the base split.
func NewSwing(c SwingConfig) *Swing {
	c = c.withDefaults()
	return &Swing{config: c, share: c.Part}
}

// Part returns the share of engines that should run prefill, between 0 and 1.
func (s *Swing) Part() float64 { return s.share }

// Look updates the split for the current load and reports whether it changed.
func (s *Swing) Look(now kumquatlug.Millis, v SwingView) bool {
	total := v.Readers + v.Writers
	wanted := s.wantedDecode(v)
	imbalance := cmp.Compare(wanted, v.Writers)
	if imbalance != s.imbalance {
		s.imbalance, s.imbalanceSince = imbalance, now
	}
	holdTime := s.config.Short
	switch {
	case imbalance < 0:
		holdTime = s.config.Spare
	case s.neededDecode(v) <= v.Writers:
		holdTime = s.config.Back
	}
	settled := s.changedAt == 0 || now-s.changedAt >= s.config.Settle
	if imbalance == 0 || !settled || now-s.imbalanceSince < holdTime {
		return false
	}
	s.share, s.changedAt = float64(total-wanted)/float64(total), now
	if wanted == s.baseDecode(total) {
		s.share = s.config.Part
	}
	return true
}

// baseDecode returns the number of decode engines in the base split.
func (s *Swing) baseDecode(total int) int {
	return total - int(math.Round(s.config.Part*float64(total)))
}

// wantedDecode returns the number of engines that should run decode.
func (s *Swing) wantedDecode(v SwingView) int {
	total := v.Readers + v.Writers
	base := s.baseDecode(total)
	minimum := base
	busyPrefill := int(math.Ceil(v.Reading * float64(v.Readers) / s.config.Busy))
	maximum := min(base+int(math.Round(s.config.More*float64(total))), total-busyPrefill)
	return max(min(s.neededDecode(v), maximum), minimum)
}

// neededDecode returns the number of decode engines that provide enough slots. The trend
// is limited by Rise, since it overshoots at the start of each burst.
func (s *Swing) neededDecode(v SwingView) int {
	expected := min(v.Coming, s.config.Rise*v.Taken)
	needed := int(math.Ceil(expected / s.config.Full))
	if needed < v.Writers {
		needed = min(int(math.Ceil(expected/s.config.Settled)), v.Writers)
	}
	return needed
}
