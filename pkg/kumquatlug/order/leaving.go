package order

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// Leaving decides for one target whether it gets new work. The operator's
// label and the platform's list tell of leaving by different ways, either of
// which may be late or cut off, so either is enough.
//
// Once seen it holds for the life of the incarnation, unless both say
// otherwise. The list lags and may be answered by an older copy: after
// "leaving" it may say "live" once more, and work sent then would be cut when
// the VM goes. So a label's word is taken back by a later revision without it
// while the list says live; the list's word only when, besides the list saying
// live, an operator has set "leaving=false" in a later revision. A target that
// the list does not name at all is neither: the list lags for new VMs too.
//
// The zero value is a target of which nothing is known: not leaving.
type Leaving struct {
	revision config.Revision
	label    bool
	denied   bool
	list     kumquatlug.VMState
	listed   bool
	listedAt config.Revision
	holds    bool
}

// Labelled takes the target's labels at a revision of the config. An older
// revision than the last is passed over.
func (l *Leaving) Labelled(revision config.Revision, labels selector.Labels) {
	if revision < l.revision {
		return
	}
	l.revision = revision
	l.label = labels.Leaving()
	value, set := labels[selector.LabelLeaving]
	l.denied = set && value == "false"
	l.judge()
}

// Listed takes the target's state in the platform's list, empty when the list
// does not name it.
func (l *Leaving) Listed(state kumquatlug.VMState) {
	if state == "" {
		return
	}
	l.list = state
	if state == kumquatlug.VMLeaving {
		l.listed, l.listedAt = true, l.revision
	}
	l.judge()
}

func (l *Leaving) judge() {
	if l.label || l.list == kumquatlug.VMLeaving {
		l.holds = true
		return
	}
	if l.list != kumquatlug.VMLive {
		return
	}
	if l.listed && (!l.denied || l.revision <= l.listedAt) {
		return
	}
	l.listed, l.holds = false, false
}

// Holds reports that the target gets no new work.
func (l *Leaving) Holds() bool { return l.holds }
