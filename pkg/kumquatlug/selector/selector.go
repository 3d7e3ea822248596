// Package selector matches labels: it reads expressions such as
// "pool=draft,zone!=b,gpu" and the terms on which a selector hands out work.
package selector

import (
	"encoding/json"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// LabelLeaving is the label by which an operator says that a target is
// leaving; any value but "false" counts.
const LabelLeaving = "leaving"

// Labels are an operator's words about one target, name to value.
type Labels map[string]string

// Leaving reports whether the labels say that the target is leaving.
func (l Labels) Leaving() bool {
	value, ok := l[LabelLeaving]
	return ok && value != "false"
}

// String returns the labels as "a=1,b=2" in name order.
func (l Labels) String() string {
	parts := make([]string, 0, len(l))
	for name, value := range l {
		parts = append(parts, name+"="+value)
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}

// Operator is how a term compares.
type Operator string

// The operators of an expression.
const (
	OperatorEqual    Operator = "="
	OperatorNotEqual Operator = "!="
	OperatorExists   Operator = "exists"
	OperatorAbsent   Operator = "absent"
)

// term is one comparison; an expression is a list of them, all of which hold.
type term struct {
	name     string
	operator Operator
	value    string
}

// Expression matches labels. The zero value matches every target.
type Expression struct {
	text  string
	terms []term
}

// Parse reads an expression: terms joined by commas, each "name=value",
// "name!=value", "name" (the label is there) or "!name" (it is not).
func Parse(text string) (Expression, error) {
	e := Expression{text: text}
	if strings.TrimSpace(text) == "" {
		return e, nil
	}
	for _, part := range strings.Split(text, ",") {
		t, err := parseTerm(strings.TrimSpace(part))
		if err != nil {
			return Expression{}, errors.Wrapf(err, "selector %q", text)
		}
		e.terms = append(e.terms, t)
	}
	return e, nil
}

func parseTerm(part string) (term, error) {
	t := term{operator: OperatorExists, name: part}
	if name, value, ok := strings.Cut(part, "!="); ok {
		t = term{name: name, operator: OperatorNotEqual, value: value}
	} else if name, value, ok := strings.Cut(part, "="); ok {
		t = term{name: name, operator: OperatorEqual, value: value}
	} else if rest, ok := strings.CutPrefix(part, "!"); ok {
		t = term{name: rest, operator: OperatorAbsent}
	}
	if strings.Contains(t.value, "=") {
		return t, errors.Newf("%q compares with a value that holds a =", part)
	}
	return t, checkName(t.name)
}

func checkName(name string) error {
	if name == "" {
		return errors.New("a term has no label name")
	}
	if strings.ContainsAny(name, "!=, \t\"/") {
		return errors.Newf("label name %q holds a character that is not allowed", name)
	}
	return nil
}

// ParseLabels reads "a=1,b=2".
func ParseLabels(text string) (Labels, error) {
	labels := Labels{}
	if strings.TrimSpace(text) == "" {
		return labels, nil
	}
	for _, part := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return nil, errors.Newf("label %q is not name=value", part)
		}
		if err := checkName(name); err != nil {
			return nil, err
		}
		labels[name] = value
	}
	return labels, nil
}

// String returns the text the expression was read from.
func (e Expression) String() string { return e.text }

// Matches reports whether every term holds for labels.
func (e Expression) Matches(labels Labels) bool {
	return e.Mismatch(labels) == ""
}

// Mismatch returns the first term that does not hold, or the empty string.
func (e Expression) Mismatch(labels Labels) string {
	for _, t := range e.terms {
		if !t.matches(labels) {
			return t.String()
		}
	}
	return ""
}

func (t term) matches(labels Labels) bool {
	value, ok := labels[t.name]
	switch t.operator {
	case OperatorEqual:
		return ok && value == t.value
	case OperatorNotEqual:
		return !ok || value != t.value
	case OperatorAbsent:
		return !ok
	default:
		return ok
	}
}

// String returns the term as it is written in an expression.
func (t term) String() string {
	switch t.operator {
	case OperatorExists:
		return t.name
	case OperatorAbsent:
		return "!" + t.name
	default:
		return t.name + string(t.operator) + t.value
	}
}

// Selector says which labelled targets may take a kind of work, in what role
// and on what terms.
type Selector struct {
	name       string
	kind       kumquatlug.Kind
	role       kumquatlug.Role
	match      Expression
	repeatable bool
	deadline   kumquatlug.Millis
	priority   int
}

// Config is what a [Selector] is made of; it is also its stored JSON form.
type Config struct {
	// Name is the selector's own name.
	Name string `json:"name"`
	// Protocol and Kind name the work: a model or a plain service.
	Protocol kumquatlug.Protocol `json:"protocol"`
	Kind     string              `json:"kind"`
	// Role is what the matching targets do.
	Role kumquatlug.Role `json:"role"`
	// Match is the expression over labels.
	Match string `json:"match"`
	// Repeatable says that every call of a plain service may run twice.
	Repeatable bool `json:"repeatable,omitempty"`
	// Deadline is the time a caller has who names none; zero means DefaultDeadline.
	Deadline kumquatlug.Millis `json:"deadline_ms,omitempty"`
	// Priority is higher for work that goes first.
	Priority int `json:"priority,omitempty"`
}

// DefaultDeadline is the time a call has when neither selector nor caller
// names one. Two minutes covers a long summary at a slow 30 ms a token
// (4,000 tokens) and is below what balancers commonly cut at.
const DefaultDeadline = 2 * kumquatlug.Minute

// The bounds of priorities, as package admission has them.
const (
	LowestPriority  = -2
	HighestPriority = 2
)

// New checks c and returns the selector.
func New(c Config) (Selector, error) {
	match, err := Parse(c.Match)
	if err != nil {
		return Selector{}, err
	}
	if c.Name == "" || c.Kind == "" {
		return Selector{}, errors.New("a selector needs a name and a kind of work")
	}
	if err := checkRole(c.Protocol, c.Role); err != nil {
		return Selector{}, errors.Wrapf(err, "selector %q", c.Name)
	}
	if c.Priority < LowestPriority || c.Priority > HighestPriority {
		return Selector{}, errors.Newf("selector %q: a priority is %d to %d", c.Name, LowestPriority, HighestPriority)
	}
	if c.Deadline < 0 {
		return Selector{}, errors.Newf("selector %q: a deadline can't be negative", c.Name)
	}
	if c.Deadline == 0 {
		c.Deadline = DefaultDeadline
	}
	return Selector{
		name: c.Name, kind: kumquatlug.NewKind(c.Protocol, c.Kind), role: c.Role, match: match,
		repeatable: c.Repeatable, deadline: c.Deadline, priority: c.Priority,
	}, nil
}

func checkRole(protocol kumquatlug.Protocol, role kumquatlug.Role) error {
	switch protocol {
	case kumquatlug.ProtocolEngine:
		if role == kumquatlug.RoleBoth || role == kumquatlug.RolePrefill || role == kumquatlug.RoleDecode {
			return nil
		}
	case kumquatlug.ProtocolService:
		if role == kumquatlug.RoleServe {
			return nil
		}
	}
	return errors.Newf("role %q does not fit protocol %q", role, protocol)
}

// Decode reads a selector from its stored JSON form.
func Decode(value []byte) (Selector, error) {
	var c Config
	if err := json.Unmarshal(value, &c); err != nil {
		return Selector{}, errors.Wrap(err, "read a selector")
	}
	return New(c)
}

// Name returns the selector's own name.
func (s Selector) Name() string { return s.name }

// Kind returns the work it hands out.
func (s Selector) Kind() kumquatlug.Kind { return s.kind }

// Role returns what matching targets do.
func (s Selector) Role() kumquatlug.Role { return s.role }

// Match returns the expression over labels.
func (s Selector) Match() Expression { return s.match }

// Repeatable reports whether every call of the service may run twice.
func (s Selector) Repeatable() bool { return s.repeatable }

// Deadline returns the time a call has unless its caller names one.
func (s Selector) Deadline() kumquatlug.Millis { return s.deadline }

// Priority returns the priority of the work; higher goes first.
func (s Selector) Priority() int { return s.priority }

// Refusal says why a target with these labels may not take work of kind, or
// returns the empty string when some selector hands it out.
func Refusal(selectors []Selector, kind kumquatlug.Kind, labels Labels) string {
	if labels.Leaving() {
		return "its labels say that it is leaving"
	}
	reason := "no selector hands out " + kind.String()
	for _, s := range selectors {
		if s.kind != kind {
			continue
		}
		mismatch := s.match.Mismatch(labels)
		if mismatch == "" {
			return ""
		}
		reason = "selector " + s.name + " asks for " + mismatch
	}
	return reason
}

// Names of the labels that every target has by what the platform says of it;
// an operator's label of the same name goes before.
const (
	LabelName = "name"
	LabelZone = "zone"
)

// With returns labels with what the platform says of the target added.
func (l Labels) With(name, zone string) Labels {
	all := Labels{LabelName: name, LabelZone: zone}
	for key, value := range l {
		all[key] = value
	}
	return all
}
