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

// Configure applies a config.
func (d *Dispatcher) Configure(now kumquatlug.Millis, state config.State) []Decision {
	d.begin(now)
	d.revision = state.Revision()
	d.selectors, _ = config.Selectors(state)
	d.readLabels(state)
	d.readCallerLimits(state)
	d.updateKinds(now)
	d.updateTargets(now)
	return d.serve(now)
}

// readLabels decodes the label rows that changed. A change affects few of 10,000
// rows, and decoding all of them blocked the event loop for 49 ms
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

// readCallerLimits applies the rate and concurrency limits of the client accounts.
// The limits of deleted accounts are kept, since these accounts can't send
// requests.
func (d *Dispatcher) readCallerLimits(state config.State) {
	state.Range(config.PrefixCaller, func(_ string, value []byte) bool {
		if account, err := kumquatlug.DecodeCaller(value); err == nil {
			d.callers.SetLimits(account.Name(), limit.CallerLimits{
				Rate: account.TokensPerSecond(), Concurrency: account.Concurrency(),
			})
		}
		return true
	})
}

// storedLabels holds a target's labels and the row that they were decoded from.
type storedLabels struct {
	row    []byte
	labels selector.Labels
}

// updateKinds adds and removes kinds so that they match the selectors.
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

// removeKind removes a kind that no selector assigns any more. Its waiting
// requests are refused; requests in flight continue.
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
