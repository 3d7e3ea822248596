package planner

import (
	"cmp"
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// SwingConfig is what a [Swing] is made of. The zero value of each field stands
// for its default.
type SwingConfig struct {
	// Part is the part of the engines that read prompts when nothing presses.
	Part float64
	// Full is the part of the slots that may be taken before more engines write,
	// Settled the part below which fewer do. Defaults 0.9 and 0.7: between
	// these nothing is won by a change.
	Full, Settled float64
	// Rise bounds what the trend is believed to make of the slots taken now, as a
	// multiple. Default 1.4.
	Rise float64
	// Busy is the part of the readers that may be at work after one was taken
	// from them. Default 0.85.
	Busy float64
	// Short and Spare are how long writers must be short of slots, or have more
	// than they need, before a change. Defaults 1 s and 1 s: bursts of three
	// seconds that the slots bear look like a shortage for less.
	Short, Spare kumquatlug.Millis
	// Back is how long no prompt must be late before an engine that went over to
	// reading goes back without being needed. Default 3.5 s: longer than a pause
	// between two bursts, which come each three seconds.
	Back kumquatlug.Millis
	// Settle is the span after a change in which nothing more is changed.
	// Default 3.5 s: a change takes three, and shows then.
	Settle kumquatlug.Millis
	// More is how many engines more than without pressure may write, as a part
	// of all. Default 0.085: one of twelve. With two the prompts of the bursts in
	// between are late, and a holder that is lost meanwhile leaves it so.
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

// SwingView is what a [Swing] decides by.
type SwingView struct {
	// Readers and Writers are the engines on each side, those on their way to
	// it counted.
	Readers, Writers int
	// Reading is the part of the readers at work.
	Reading float64
	// Taken is how many engines' slots are taken now, Coming how many will be
	// when a change has effect.
	Taken, Coming float64
}

// Swing says how many engines of a group should read prompts while the load
// swings each ten to twenty seconds between long prompts and long outputs.
//
// With a fixed split one side overflows for half of the time: streams wait for
// slots beside idle readers, then prompts are refused beside idle slots. By
// demand averaged over seconds the split follows each wave and comes late.
// So it leaves the fixed split only where streams will be short of slots by the
// time a change has effect, takes as many readers as they need and the prompts
// can spare, and gives them back as soon as the slots are not needed.
//
// A Swing belongs to one owner and is not safe for concurrent use.
type Swing struct {
	config SwingConfig
	share  float64
	// wrongSince is when the number of writers began to be wrong in one way,
	// wrong in which: 1 for too few, -1 for too many.
	imbalance      int
	imbalanceSince kumquatlug.Millis
	changedAt      kumquatlug.Millis
}

// NewSwing returns a swing that begins with the config's part.
func NewSwing(c SwingConfig) *Swing {
	c = c.withDefaults()
	return &Swing{config: c, share: c.Part}
}

// Part returns the part of the engines that should read.
func (s *Swing) Part() float64 { return s.share }

// Look takes what is seen now and reports whether the part changed.
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

// baseDecode is how many engines write when nothing presses.
func (s *Swing) baseDecode(total int) int {
	return total - int(math.Round(s.config.Part*float64(total)))
}

// wantedDecode is how many engines should write.
func (s *Swing) wantedDecode(v SwingView) int {
	total := v.Readers + v.Writers
	base := s.baseDecode(total)
	minimum := base
	busyPrefill := int(math.Ceil(v.Reading * float64(v.Readers) / s.config.Busy))
	maximum := min(base+int(math.Round(s.config.More*float64(total))), total-busyPrefill)
	return max(min(s.neededDecode(v), maximum), minimum)
}

// neededDecode is how many engines have slots enough. A trend alone is not believed: at
// the begin of each burst it points far up.
func (s *Swing) neededDecode(v SwingView) int {
	expected := min(v.Coming, s.config.Rise*v.Taken)
	needed := int(math.Ceil(expected / s.config.Full))
	if needed < v.Writers {
		needed = min(int(math.Ceil(expected/s.config.Settled)), v.Writers)
	}
	return needed
}
