package entry

import (
	"maps"
	"slices"
	"strconv"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/accounts"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// configView is the part of the config that requests use: accounts and the
// policy of each kind. It is built once per revision and read without a lock.
type configView struct {
	revision config.Revision
	accounts *accounts.Index
	policies map[kumquatlug.Kind]kindPolicy
	kinds    []kumquatlug.Kind
}

// kindPolicy has the request settings of a kind.
type kindPolicy struct {
	repeatable bool
	timeout    kumquatlug.Millis
	priority   int
}

func newConfigView(state config.State) *configView {
	v := &configView{revision: state.Revision(), policies: map[kumquatlug.Kind]kindPolicy{}}
	var callers []kumquatlug.Caller
	state.Range(config.PrefixCaller, func(_ string, value []byte) bool {
		if account, err := kumquatlug.DecodeCaller(value); err == nil {
			callers = append(callers, account)
		}
		return true
	})
	v.accounts = accounts.NewIndex(callers)
	selectors, _ := config.Selectors(state)
	for _, s := range selectors {
		v.addSelector(s)
	}
	return v
}

// addSelector adds the policy of one selector. If several selectors route a
// kind, the first one by name decides, but the kind is repeatable only if it is
// so in all of them.
func (v *configView) addSelector(s selector.Selector) {
	existing, found := v.policies[s.Kind()]
	if found {
		existing.repeatable = existing.repeatable && s.Repeatable()
		v.policies[s.Kind()] = existing
		return
	}
	v.policies[s.Kind()] = kindPolicy{repeatable: s.Repeatable(), timeout: s.Timeout(), priority: s.Priority()}
	v.kinds = append(v.kinds, s.Kind())
}

func revisionText(r config.Revision) string { return itoa(int64(r)) }

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

func sortedNames(engines map[string]engineState) []string {
	return slices.Sorted(maps.Keys(engines))
}
