package planner

import (
	"cmp"
	"fmt"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Static is a planner that never changes the split.
type Static struct{}

var _ kumquatlug.RolePlanner = Static{}

// RecordDemand implements [kumquatlug.RolePlanner].
func (Static) RecordDemand(kumquatlug.Millis, kumquatlug.Demand) {}

// Report implements [kumquatlug.RolePlanner].
func (Static) Report(kumquatlug.Millis, kumquatlug.EngineReport) {}

// OrderRefused implements [kumquatlug.RolePlanner].
func (Static) OrderRefused(kumquatlug.Millis, string) {}

// Remove implements [kumquatlug.RolePlanner].
func (Static) Remove(kumquatlug.Millis, string) {}

// Plan implements [kumquatlug.RolePlanner]. It returns no changes.
func (Static) Plan(kumquatlug.Millis) []kumquatlug.RoleChange { return nil }

// ThresholdConfig configures a [Threshold] planner. A zero field selects its default.
type ThresholdConfig struct {
	// High and Low are utilization thresholds: an engine moves to a side whose
	// utilization is above High if that of the other side is below Low. Defaults 0.9
	// and 0.7.
	High float64
	Low  float64
	// MinInterval is the minimum time between two changes. Default 10 s.
	MinInterval kumquatlug.Millis
	// AverageSpan is the time constant of the moving average of the demand. Default 10 s.
	AverageSpan kumquatlug.Millis
	// MaxChangingShare is the maximum share of the group that changes roles concurrently.
	// Default 0.2.
	MaxChangingShare float64
	// PrefillRate and DecodeRate are as in [Config].
	PrefillRate float64
	DecodeRate  float64
}

// Threshold is a planner that moves one engine whenever one side is busy and the other
// is not, like a plain autoscaler.
type Threshold struct {
	config  ThresholdConfig
	group   *group
	demand  *demand
	movedAt kumquatlug.Millis
	moved   bool
}

var _ kumquatlug.RolePlanner = (*Threshold)(nil)

// NewThreshold returns a planner without engines or demand.
func NewThreshold(c ThresholdConfig) *Threshold {
	c.High = cmp.Or(c.High, 0.9)
	c.Low = cmp.Or(c.Low, 0.7)
	c.MinInterval = cmp.Or(c.MinInterval, 10*kumquatlug.Second)
	c.AverageSpan = cmp.Or(c.AverageSpan, 10*kumquatlug.Second)
	c.MaxChangingShare = cmp.Or(c.MaxChangingShare, 0.2)
	c.PrefillRate = cmp.Or(c.PrefillRate, 8000)
	c.DecodeRate = cmp.Or(c.DecodeRate, 1500)
	return &Threshold{config: c, group: newGroup(c.PrefillRate, c.DecodeRate), demand: newDemand(c.AverageSpan, c.AverageSpan)}
}

// RecordDemand implements [kumquatlug.RolePlanner].
func (t *Threshold) RecordDemand(now kumquatlug.Millis, o kumquatlug.Demand) {
	t.demand.record(now, o)
}

// Report implements [kumquatlug.RolePlanner].
func (t *Threshold) Report(now kumquatlug.Millis, e kumquatlug.EngineReport) { t.group.report(now, e) }

// OrderRefused implements [kumquatlug.RolePlanner].
func (t *Threshold) OrderRefused(_ kumquatlug.Millis, target string) { t.group.refused(target) }

// Remove implements [kumquatlug.RolePlanner].
func (t *Threshold) Remove(_ kumquatlug.Millis, target string) { t.group.remove(target) }

// Plan implements [kumquatlug.RolePlanner].
func (t *Threshold) Plan(now kumquatlug.Millis) []kumquatlug.RoleChange {
	prefill, decode := t.group.split()
	if t.moved && now-t.movedAt < t.config.MinInterval || prefill == 0 || decode == 0 {
		return nil
	}
	offered := t.demand.estimate()
	prefillLoad := offered.prefill / (float64(prefill) * t.group.prefillRate)
	decodeLoad := offered.decode / (float64(decode) * t.group.decodeRate)
	reason := fmt.Sprintf("prefill at %.2f, decode at %.2f", prefillLoad, decodeLoad)
	switch {
	case prefillLoad > t.config.High && decodeLoad < t.config.Low && decode > 1:
		return t.move(now, kumquatlug.RoleDecode, kumquatlug.RolePrefill, reason)
	case decodeLoad > t.config.High && prefillLoad < t.config.Low && prefill > 1:
		return t.move(now, kumquatlug.RolePrefill, kumquatlug.RoleDecode, reason)
	default:
		return nil
	}
}

func (t *Threshold) move(now kumquatlug.Millis, from, to kumquatlug.Role, reason string) []kumquatlug.RoleChange {
	t.moved, t.movedAt = true, now
	return t.group.orderChanges(now, from, to, 1, maxConcurrentChanges(t.config.MaxChangingShare, t.group.size()), 0, reason)
}
