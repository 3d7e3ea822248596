// Package selector assigns work to targets by their labels. It parses label expressions such
// as "pool=draft,zone!=b,gpu", and the selectors that combine an expression with a kind of
// work, a role, a deadline and a priority.
package selector

import (
	"encoding/json"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// LabelLeaving is the label with which an operator marks a target as leaving. Every value
// except "false" marks it.
const LabelLeaving = "leaving"

// Labels are the labels that an operator set on a target, by name.
type Labels map[string]string

// Leaving reports whether the labels say that the target is leaving.
func (l Labels) Leaving() bool {
	value, ok := l[LabelLeaving]
	return ok && value != "false"
}

// String returns the labels as "a=1,b=2", sorted by name.
func (l Labels) String() string {
	parts := make([]string, 0, len(l))
	for name, value := range l {
		parts = append(parts, name+"="+value)
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}

// Operator is the comparison of a term.
type Operator string

// The operators of an expression.
const (
	OperatorEqual    Operator = "="
	OperatorNotEqual Operator = "!="
	OperatorExists   Operator = "exists"
	OperatorAbsent   Operator = "absent"
)

// term is one comparison of an expression, whose terms must all match.
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

// Parse parses an expression: terms separated by commas, each "name=value", "name!=value",
// "name" (the label exists) or "!name" (it does not).
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

// ParseLabels parses labels such as "a=1,b=2".
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

// String returns the text that the expression was parsed from.
func (e Expression) String() string { return e.text }

// Matches reports whether all terms match the labels.
func (e Expression) Matches(labels Labels) bool {
	return e.Mismatch(labels) == ""
}

// Mismatch returns the first term that does not match the labels, or the empty string.
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

// String returns the term in the syntax of expressions.
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

// Selector defines which targets, by their labels, may take a kind of work, in which role and
// with which deadline and priority.
type Selector struct {
	name       string
	kind       kumquatlug.Kind
	role       kumquatlug.Role
	match      Expression
	repeatable bool
	timeout    kumquatlug.Millis
	priority   int
}

// Config configures a [Selector]. Its JSON form is the stored one.
type Config struct {
	// Name is the name of the selector.
	Name string `json:"name"`
	// Protocol and Kind identify the work: a model or a plain service.
	Protocol kumquatlug.Protocol `json:"protocol"`
	Kind     string              `json:"kind"`
	// Role is the role of the matching targets.
	Role kumquatlug.Role `json:"role"`
	// Match is the label expression.
	Match string `json:"match"`
	// Repeatable reports that every call of a plain service may run twice.
	Repeatable bool `json:"repeatable,omitempty"`
	// Timeout is the time of a call whose caller sets no deadline; zero means DefaultTimeout.
	Timeout kumquatlug.Millis `json:"deadline_ms,omitempty"`
	// Priority is the priority of the work, from LowestPriority to HighestPriority.
	Priority int `json:"priority,omitempty"`
}

// DefaultTimeout is the time of a call if neither selector nor caller sets one. Two minutes
// cover a long summary of 4,000 tokens at a slow 30 ms per token, and are below the usual
// timeouts of load balancers.
const DefaultTimeout = 2 * kumquatlug.Minute

// The range of priorities, the same as in package admission.
const (
	LowestPriority  = -2
	HighestPriority = 2
)

// New validates c and returns the selector.
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
	if c.Timeout < 0 {
		return Selector{}, errors.Newf("selector %q: a deadline can't be negative", c.Name)
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	return Selector{
		name: c.Name, kind: kumquatlug.NewKind(c.Protocol, c.Kind), role: c.Role, match: match,
		repeatable: c.Repeatable, timeout: c.Timeout, priority: c.Priority,
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

// Decode parses a selector from its stored JSON form.
func Decode(value []byte) (Selector, error) {
	var c Config
	if err := json.Unmarshal(value, &c); err != nil {
		return Selector{}, errors.Wrap(err, "read a selector")
	}
	return New(c)
}

// Name returns the name of the selector.
func (s Selector) Name() string { return s.name }

// Kind returns the kind of work.
func (s Selector) Kind() kumquatlug.Kind { return s.kind }

// Role returns the role of matching targets.
func (s Selector) Role() kumquatlug.Role { return s.role }

// Match returns the label expression.
func (s Selector) Match() Expression { return s.match }

// Repeatable reports whether every call of the service may run twice.
func (s Selector) Repeatable() bool { return s.repeatable }

// Timeout returns the time of a call whose caller sets no deadline.
func (s Selector) Timeout() kumquatlug.Millis { return s.timeout }

// Priority returns the priority of the work; higher priorities are served first.
func (s Selector) Priority() int { return s.priority }

// Refusal returns why a target with these labels may not take work of a kind, or the empty
// string if a selector allows it.
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

// Labels that every target has from the platform. A label of the same name that an operator
// set takes precedence.
const (
	LabelName = "name"
	LabelZone = "zone"
)

// WithPlatform returns the labels combined with the name and zone of the target.
func (l Labels) WithPlatform(name, zone string) Labels {
	all := Labels{LabelName: name, LabelZone: zone}
	for key, value := range l {
		all[key] = value
	}
	return all
}
