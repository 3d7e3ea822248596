package config

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// Key prefixes, each followed by a name.
const (
	// PrefixTarget is followed by a target's name; the value is its
	// [selector.Labels].
	PrefixTarget = "target/"
	// PrefixSelector is followed by a selector's name; the value is a
	// [selector.Config].
	PrefixSelector = "selector/"
	// PrefixCaller is followed by the name of a client account; the value is a
	// [kumquatlug.CallerConfig].
	PrefixCaller = "caller/"
)

// NewLabelsSet returns the set that writes a target's labels.
func NewLabelsSet(target string, labels selector.Labels) (Set, error) {
	return newJSONSet(PrefixTarget+target, labels)
}

// NewSelectorSet validates c and returns the set that writes the selector.
func NewSelectorSet(c selector.Config) (Set, error) {
	if _, err := selector.New(c); err != nil {
		return Set{}, err
	}
	return newJSONSet(PrefixSelector+c.Name, c)
}

func newJSONSet(key string, value any) (Set, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return Set{}, errors.Wrapf(err, "encode %s", key)
	}
	return NewSet(key, encoded), nil
}

// ValidateSet returns an error if nodes could not decode the set, so that it is rejected
// before it is in force.
func ValidateSet(s Set) error {
	if s.deleted {
		return nil
	}
	var err error
	switch {
	case strings.HasPrefix(s.key, PrefixTarget):
		err = json.Unmarshal(s.value, &selector.Labels{})
	case strings.HasPrefix(s.key, PrefixSelector):
		_, err = selector.Decode(s.value)
	case strings.HasPrefix(s.key, PrefixCaller):
		_, err = kumquatlug.DecodeCaller(s.value)
	default:
		err = errors.New("keys start with target/, selector/ or caller/")
	}
	return errors.Wrapf(err, "key %q", s.key)
}

// NewCallerSet validates c and returns the set that writes the client account.
func NewCallerSet(c kumquatlug.CallerConfig) (Set, error) {
	if _, err := kumquatlug.NewCaller(c); err != nil {
		return Set{}, err
	}
	return newJSONSet(PrefixCaller+c.Name, c)
}

// Labels returns the labels of a target, empty when it has no row.
func Labels(s State, target string) (selector.Labels, error) {
	labels := selector.Labels{}
	value, ok := s.Get(PrefixTarget + target)
	if !ok {
		return labels, nil
	}
	err := json.Unmarshal(value, &labels)
	return labels, errors.Wrapf(err, "labels of %s", target)
}

// Selectors returns all selectors in name order. A row that can't be decoded is left out
// and named in the error; the others are returned together with the error.
func Selectors(s State) ([]selector.Selector, error) {
	var selectors []selector.Selector
	var decodeErr error
	s.Range(PrefixSelector, func(key string, value []byte) bool {
		sel, err := selector.Decode(value)
		if err != nil {
			decodeErr = errors.CombineErrors(decodeErr, errors.Wrap(err, key))
			return true
		}
		selectors = append(selectors, sel)
		return true
	})
	return selectors, decodeErr
}

// unavailable marks err with ErrUnavailable: nothing took effect.
func unavailable(err error) error {
	return errors.Mark(err, kumquatlug.ErrUnavailable)
}

// LabelGroup is the label by which an operator assigns an engine to a named group.
// Engines without it are grouped by their kind of work.
const LabelGroup = "group"

// GroupOf returns the group whose lease holder sends orders to a target with these
// labels: the group in its label, or else the first kind of engine work for which a
// selector matches. It is empty for a target that no such selector matches.
func GroupOf(selectors []selector.Selector, labels selector.Labels) string {
	if group := labels[LabelGroup]; group != "" {
		return group
	}
	for _, sel := range selectors {
		if sel.Kind().Protocol() == kumquatlug.ProtocolEngine && sel.Match().Matches(labels) {
			return sel.Kind().Name()
		}
	}
	return ""
}
