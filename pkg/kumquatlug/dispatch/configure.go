package dispatch

import (
	"bytes"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/health"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// Configure takes the config in force.
func (d *Dispatcher) Configure(now kumquatlug.Millis, state config.State) []Decision {
	d.begin(now)
	d.revision = state.Revision()
	d.selectors, _ = config.Selectors(state)
	d.readLabels(state)
	d.readCallerTerms(state)
	d.updateKinds(now)
	d.updateTargets(now)
	return d.serve(now)
}

// readLabels takes in the rows that changed. A change touches few of ten
// thousand rows, and decoding them all held every decision up for 49 ms
// (docs/CAPACITY.md).
func (d *Dispatcher) readLabels(state config.State) {
	previous := d.labels
	d.labels = make(map[string]storedLabels, len(previous))
	state.Range(config.PrefixTarget, func(key string, value []byte) bool {
		name := strings.TrimPrefix(key, config.PrefixTarget)
		if stored, ok := previous[name]; ok && bytes.Equal(stored.row, value) {
			d.labels[name] = stored
			return true
		}
		if labels, err := config.Labels(state, name); err == nil {
			d.labels[name] = storedLabels{row: value, labels: labels}
		}
		return true
	})
}

// readCallerTerms takes in what accounts may ask. An account that was deleted sends
// nothing more, so that its terms may stay.
func (d *Dispatcher) readCallerTerms(state config.State) {
	state.Range(config.PrefixCaller, func(_ string, value []byte) bool {
		if account, err := kumquatlug.DecodeCaller(value); err == nil {
			d.callers.SetTerms(account.Name(), limit.CallerTerms{
				Rate: account.TokensPerSecond(), Concurrency: account.Concurrency(),
			})
		}
		return true
	})
}

// storedLabels is a target's labels and the row that they were read from.
type storedLabels struct {
	row    []byte
	labels selector.Labels
}

// updateKinds follows which kinds of work there are. Requests of a kind that is
// no longer handed out are given up as stranded.
func (d *Dispatcher) updateKinds(now kumquatlug.Millis) {
	for _, s := range d.selectors {
		if _, known := d.kinds[s.Kind()]; !known {
			d.kinds[s.Kind()] = &kindState{kind: s.Kind(), emptySince: now, latencyRatio: 1}
			d.health[s.Kind()] = health.New(d.c.Health)
		}
	}
	d.kindOrder = d.kindOrder[:0]
	for kind := range d.kinds {
		d.kindOrder = append(d.kindOrder, kind)
	}
	sortKinds(d.kindOrder)
	for _, kind := range append([]kumquatlug.Kind(nil), d.kindOrder...) {
		if !d.hasSelector(kind) {
			d.removeKind(now, kind)
		}
	}
}

func (d *Dispatcher) hasSelector(kind kumquatlug.Kind) bool {
	for _, s := range d.selectors {
		if s.Kind() == kind {
			return true
		}
	}
	return false
}

// removeKind forgets a kind that no selector hands out any more. What waits is
// given up; what is in hand is finished.
func (d *Dispatcher) removeKind(now kumquatlug.Millis, kind kumquatlug.Kind) {
	d.refuseWaiting(now, kind)
	delete(d.kinds, kind)
	delete(d.health, kind)
	for i, other := range d.kindOrder {
		if other == kind {
			d.kindOrder = append(d.kindOrder[:i], d.kindOrder[i+1:]...)
			return
		}
	}
}
