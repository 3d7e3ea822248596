package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// Explanation reports whether a target can take a kind of work, and the reason if
// it can't.
type Explanation struct {
	target   string
	eligible bool
	selector string
	reason   string
}

// Target returns the target's name.
func (e Explanation) Target() string { return e.target }

// Eligible reports whether the target can take the work now.
func (e Explanation) Eligible() bool { return e.eligible }

// Selector returns the name of the selector that assigns the work to the target.
func (e Explanation) Selector() string { return e.selector }

// Reason returns why the target can't take the work, empty if it can.
func (e Explanation) Reason() string { return e.reason }

// Explain reports for every target whether it can take a kind of work. It applies
// the same checks as the choice of a target.
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
