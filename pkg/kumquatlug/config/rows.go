package config

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// Prefixes of the keys, each followed by a name.
const (
	// PrefixTarget is followed by a target's name; the value is its labels.
	PrefixTarget = "target/"
	// PrefixSelector is followed by a selector's name; the value is a
	// [selector.Config].
	PrefixSelector = "selector/"
	// PrefixCaller is followed by an account; the value is a
	// [kumquatlug.CallerConfig].
	PrefixCaller = "caller/"
)

// SetLabels returns the write of a target's labels.
func SetLabels(target string, labels selector.Labels) (Set, error) {
	return newJSONSet(PrefixTarget+target, labels)
}

// SetSelector checks c and returns its write.
func SetSelector(c selector.Config) (Set, error) {
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

// Check reports a set that no node could read, so that it is refused before it
// is in force.
func Check(s Set) error {
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

// SetCaller checks c and returns the write of the account.
func SetCaller(c kumquatlug.CallerConfig) (Set, error) {
	if _, err := kumquatlug.NewCaller(c); err != nil {
		return Set{}, err
	}
	return newJSONSet(PrefixCaller+c.Name, c)
}

// Labels returns the labels of one target, none when it has no row.
func Labels(s State, target string) (selector.Labels, error) {
	labels := selector.Labels{}
	value, ok := s.Get(PrefixTarget + target)
	if !ok {
		return labels, nil
	}
	err := json.Unmarshal(value, &labels)
	return labels, errors.Wrapf(err, "labels of %s", target)
}

// Selectors returns all selectors in name order. A row that can't be read is
// left out and named in the error; the others are returned beside it.
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

// unavailable marks err as one after which nothing took effect.
func unavailable(err error) error {
	return errors.Mark(err, kumquatlug.ErrUnavailable)
}

// LabelGroup is the label by which an operator puts an engine into a group of
// its own; engines without it are grouped by what they do.
const LabelGroup = "group"

// GroupAmong returns the group whose lease holder gives a target with these
// labels its orders: the one that its label names, or the first kind of engine
// work that a selector gives it. It is empty for a target that takes none.
func GroupAmong(selectors []selector.Selector, labels selector.Labels) string {
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
