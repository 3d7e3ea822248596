package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// Explanation says whether a target may take a kind of work, and why not.
type Explanation struct {
	target   string
	eligible bool
	selector string
	reason   string
}

// Target returns the target's name.
func (e Explanation) Target() string { return e.target }

// Eligible reports whether the target may take the work now.
func (e Explanation) Eligible() bool { return e.eligible }

// Selector returns the name of the selector that gives the work to the target.
func (e Explanation) Selector() string { return e.selector }

// Reason says why the target may not take the work.
func (e Explanation) Reason() string { return e.reason }

// Explain says for every target whether it may take a kind of work. It follows
// the same steps as the choice itself.
func (d *Dispatcher) Explain(kind kumquatlug.Kind) []Explanation {
	explanations := make([]Explanation, 0, len(d.members.Names()))
	for _, name := range d.members.Names() {
		explanations = append(explanations, d.explain(name, kind))
	}
	return explanations
}

func (d *Dispatcher) explain(name string, kind kumquatlug.Kind) Explanation {
	e := Explanation{target: name}
	for _, s := range d.selectorsFor(name, kind) {
		e.selector = s.Name()
	}
	e.reason = selector.Refusal(d.selectors, kind, d.labelsOf(name))
	if e.reason == "" {
		e.reason = d.unreadyReason(name)
	}
	if e.reason == "" && !contains(d.watched, name) {
		e.reason = "this entry speaks to other targets of the kind"
	}
	e.eligible = e.reason == ""
	return e
}
