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
	c    SwingConfig
	part float64
	// wrongSince is when the number of writers began to be wrong in one way,
	// wrong in which: 1 for too few, -1 for too many.
	wrong      int
	wrongSince kumquatlug.Millis
	changedAt  kumquatlug.Millis
}

// NewSwing returns a swing that begins with the config's part.
func NewSwing(c SwingConfig) *Swing {
	c = c.withDefaults()
	return &Swing{c: c, part: c.Part}
}

// Part returns the part of the engines that should read.
func (s *Swing) Part() float64 { return s.part }

// Look takes what is seen now and reports whether the part changed.
func (s *Swing) Look(now kumquatlug.Millis, v SwingView) bool {
	total := v.Readers + v.Writers
	want := s.want(v)
	wrong := cmp.Compare(want, v.Writers)
	if wrong != s.wrong {
		s.wrong, s.wrongSince = wrong, now
	}
	lasting := s.c.Short
	switch {
	case wrong < 0:
		lasting = s.c.Spare
	case s.need(v) <= v.Writers:
		lasting = s.c.Back
	}
	settled := s.changedAt == 0 || now-s.changedAt >= s.c.Settle
	if wrong == 0 || !settled || now-s.wrongSince < lasting {
		return false
	}
	s.part, s.changedAt = float64(total-want)/float64(total), now
	if want == s.usual(total) {
		s.part = s.c.Part
	}
	return true
}

// usual is how many engines write when nothing presses.
func (s *Swing) usual(total int) int {
	return total - int(math.Round(s.c.Part*float64(total)))
}

// want is how many engines should write.
func (s *Swing) want(v SwingView) int {
	total := v.Readers + v.Writers
	usual := s.usual(total)
	least := usual
	readers := int(math.Ceil(v.Reading * float64(v.Readers) / s.c.Busy))
	most := min(usual+int(math.Round(s.c.More*float64(total))), total-readers)
	return max(min(s.need(v), most), least)
}

// need is how many engines have slots enough. A trend alone is not believed: at
// the begin of each burst it points far up.
func (s *Swing) need(v SwingView) int {
	coming := min(v.Coming, s.c.Rise*v.Taken)
	need := int(math.Ceil(coming / s.c.Full))
	if need < v.Writers {
		need = min(int(math.Ceil(coming/s.c.Settled)), v.Writers)
	}
	return need
}
