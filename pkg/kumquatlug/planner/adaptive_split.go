package planner

import (
	"cmp"
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// AdaptiveSplitConfig configures an [AdaptiveSplit]. A zero field selects its default,
// except BasePrefillShare, which has none.
type AdaptiveSplitConfig struct {
	// BasePrefillShare is the base split: the share of engines that run prefill while decode is
	// not short of slots.
	BasePrefillShare float64
	// HighUtilization is the slot utilization above which decode gets more engines,
	// LowUtilization the utilization below which it gets fewer. Defaults 0.9 and 0.7: a
	// change between these gains nothing.
	HighUtilization, LowUtilization float64
	// MaxGrowth limits the expected number of occupied slots, as a multiple of the number
	// occupied now. Default 1.4.
	MaxGrowth float64
	// MaxPrefillUtilization is the maximum utilization of the remaining prefill engines after one was
	// moved to decode. Default 0.85.
	MaxPrefillUtilization float64
	// ShortageHold and SurplusHold are how long decode must have too few slots, or more
	// than it needs, before a change. Defaults 1 s and 1 s: bursts of three seconds that
	// the slots can absorb look like a shortage for less than that.
	ShortageHold, SurplusHold kumquatlug.Millis
	// ReturnHold is how long no prompt must be late before an engine that was moved to
	// prefill returns to decode without being needed there. Default 3.5 s: longer than
	// the pause between two bursts, which arrive every three seconds.
	ReturnHold kumquatlug.Millis
	// Cooldown is the time after a change during which no other change is made. Default
	// 3.5 s: a change takes three seconds, and its effect is visible then.
	Cooldown kumquatlug.Millis
	// MaxExtraDecodeShare is the maximum number of additional decode engines relative to the base
	// split, as a share of all engines. Default 0.085: one of twelve. With two, the
	// prompts of bursts in between are late, and the split stays that way if the lease
	// holder fails meanwhile.
	MaxExtraDecodeShare float64
}

func (c AdaptiveSplitConfig) withDefaults() AdaptiveSplitConfig {
	c.HighUtilization = cmp.Or(c.HighUtilization, 0.9)
	c.LowUtilization = cmp.Or(c.LowUtilization, 0.7)
	c.MaxGrowth = cmp.Or(c.MaxGrowth, 1.4)
	c.MaxPrefillUtilization = cmp.Or(c.MaxPrefillUtilization, 0.85)
	c.ShortageHold = cmp.Or(c.ShortageHold, 1000)
	c.SurplusHold = cmp.Or(c.SurplusHold, 1000)
	c.ReturnHold = cmp.Or(c.ReturnHold, 3500)
	c.Cooldown = cmp.Or(c.Cooldown, 3500)
	c.MaxExtraDecodeShare = cmp.Or(c.MaxExtraDecodeShare, 0.085)
	return c
}

// SplitLoad is the load that an [AdaptiveSplit] bases its decision on.
type SplitLoad struct {
	// PrefillEngines and DecodeEngines are the numbers of prefill and decode engines.
	// Engines with a pending change count in their new role.
	PrefillEngines, DecodeEngines int
	// PrefillUtilization is the share of prefill engines that are busy.
	PrefillUtilization float64
	// DecodeEnginesUsed is the number of occupied decode slots and ExpectedSlots the number
	// expected when a change takes effect, both in units of one engine's slots.
	DecodeEnginesUsed, DecodeEnginesForecast float64
}

// AdaptiveSplit decides which share of a group's engines should run prefill while the load
// alternates every ten to twenty seconds between long prompts and long outputs.
//
// With a fixed split one side overflows for half of the time: streams wait for slots
// while prefill engines are idle, then prompts are refused while slots are idle. A split
// based on demand averaged over seconds follows each fluctuation and is late. An
// AdaptiveSplit therefore departs from the fixed split only if streams will be short of
// slots by the time a change takes effect. It moves as many prefill engines to decode as
// the streams need and the prompts can spare, and returns them as soon as the slots are
// not needed.
//
// An AdaptiveSplit is not safe for concurrent use.
type AdaptiveSplit struct {
	config AdaptiveSplitConfig
	share  float64
	// imbalance is 1 if there are too few decode engines, -1 if there are too many;
	// imbalanceSince is when it took this value.
	imbalance      int
	imbalanceSince kumquatlug.Millis
	changedAt      kumquatlug.Millis
}

// NewAdaptiveSplit returns an adaptive split that starts with the base split.
func NewAdaptiveSplit(c AdaptiveSplitConfig) *AdaptiveSplit {
	c = c.withDefaults()
	return &AdaptiveSplit{config: c, share: c.BasePrefillShare}
}

// PrefillShare returns the share of engines that should run prefill, between 0 and 1.
func (s *AdaptiveSplit) PrefillShare() float64 { return s.share }

// Update updates the split for the current load and reports whether it changed.
func (s *AdaptiveSplit) Update(now kumquatlug.Millis, v SplitLoad) bool {
	total := v.PrefillEngines + v.DecodeEngines
	wanted := s.wantedDecode(v)
	imbalance := cmp.Compare(wanted, v.DecodeEngines)
	if imbalance != s.imbalance {
		s.imbalance, s.imbalanceSince = imbalance, now
	}
	holdTime := s.config.ShortageHold
	switch {
	case imbalance < 0:
		holdTime = s.config.SurplusHold
	case s.neededDecode(v) <= v.DecodeEngines:
		holdTime = s.config.ReturnHold
	}
	settled := s.changedAt == 0 || now-s.changedAt >= s.config.Cooldown
	if imbalance == 0 || !settled || now-s.imbalanceSince < holdTime {
		return false
	}
	s.share, s.changedAt = float64(total-wanted)/float64(total), now
	if wanted == s.baseDecode(total) {
		s.share = s.config.BasePrefillShare
	}
	return true
}

// baseDecode returns the number of decode engines in the base split.
func (s *AdaptiveSplit) baseDecode(total int) int {
	return total - int(math.Round(s.config.BasePrefillShare*float64(total)))
}

// wantedDecode returns the number of engines that should run decode.
func (s *AdaptiveSplit) wantedDecode(v SplitLoad) int {
	total := v.PrefillEngines + v.DecodeEngines
	base := s.baseDecode(total)
	minimum := base
	busyPrefill := int(math.Ceil(v.PrefillUtilization * float64(v.PrefillEngines) / s.config.MaxPrefillUtilization))
	maximum := min(base+int(math.Round(s.config.MaxExtraDecodeShare*float64(total))), total-busyPrefill)
	return max(min(s.neededDecode(v), maximum), minimum)
}

// neededDecode returns the number of decode engines that provide enough slots. The trend
// is limited by MaxGrowth, since it overshoots at the start of each burst.
func (s *AdaptiveSplit) neededDecode(v SplitLoad) int {
	expected := min(v.DecodeEnginesForecast, s.config.MaxGrowth*v.DecodeEnginesUsed)
	needed := int(math.Ceil(expected / s.config.HighUtilization))
	if needed < v.DecodeEngines {
		needed = min(int(math.Ceil(expected/s.config.LowUtilization)), v.DecodeEngines)
	}
	return needed
}
