package order

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// word is one thing that a node heard of its target.
type word struct {
	revision config.Revision
	label    string
	list     kumquatlug.VMState
}

func labels(value string) selector.Labels {
	if value == "" {
		return selector.Labels{"pool": "draft"}
	}
	return selector.Labels{selector.LabelLeaving: value}
}

func (w word) tell(l *Leaving) {
	if w.revision > 0 {
		l.Labelled(w.revision, labels(w.label))
	}
	l.Listed(w.list)
}

// A VM is about to be taken away: the operator's label says so or the
// platform's list, one of them late or answered by an older copy. Work that is
// sent to the target then is cut when the VM goes, and its caller has to come
// again.
func TestLeaving(t *testing.T) {
	label := func(r config.Revision, value string) word { return word{revision: r, label: value} }
	list := func(s kumquatlug.VMState) word { return word{list: s} }
	live, leaving := kumquatlug.VMLive, kumquatlug.VMLeaving
	cases := map[string]struct {
		words []word
		want  bool
	}{
		"nothing is known":               {nil, false},
		"label alone":                    {[]word{list(live), label(1, "true")}, true},
		"list alone":                     {[]word{label(1, ""), list(leaving)}, true},
		"list against leaving=false":     {[]word{label(1, "false"), list(leaving)}, true},
		"label older than the one seen":  {[]word{list(live), label(2, "true"), label(1, "")}, true},
		"label taken back":               {[]word{list(live), label(1, "true"), label(2, "")}, false},
		"label taken back, no list":      {[]word{label(1, "true"), label(2, "")}, true},
		"list falls back to live":        {[]word{label(1, ""), list(leaving), list(live)}, true},
		"list no longer names it":        {[]word{label(1, ""), list(leaving), list("")}, true},
		"both take it back":              {[]word{label(1, ""), list(leaving), list(live), label(2, "false")}, false},
		"list takes it back last":        {[]word{list(leaving), label(2, "false"), list(live)}, false},
		"denied before the list said so": {[]word{label(2, "false"), list(leaving), list(live)}, true},
	}
	for name, c := range cases {
		l := Leaving{}
		for _, w := range c.words {
			w.tell(&l)
		}
		if l.Holds() != c.want {
			t.Errorf("%s: leaving is %v, want %v", name, l.Holds(), c.want)
		}
	}
}

// Words come in any order and number; the whole history is looked through anew
// after each one. A target that one side calls leaving must never get work, and
// one that was must not get it again on one side's word.
func TestProofLeavingHolds(t *testing.T) {
	r := rand.New(rand.NewSource(int64(setting("KUMQUATLUG_PROOF_SEED", proofSeed))))
	values := []string{"", "false", "true"}
	states := []kumquatlug.VMState{"", kumquatlug.VMLive, kumquatlug.VMLive, kumquatlug.VMLeaving}
	for run := range 10 * setting("KUMQUATLUG_PROOF_RUNS", proofRuns) {
		l, history, before := Leaving{}, []word(nil), false
		for range 12 {
			w := word{list: states[r.Intn(len(states))]}
			if r.Intn(2) == 0 {
				w = word{revision: config.Revision(r.Intn(6) + 1), label: values[r.Intn(len(values))]}
			}
			// A revision says the same each time that it is heard.
			for _, old := range history {
				if w.revision > 0 && old.revision == w.revision {
					w.label = old.label
				}
			}
			history = append(history, w)
			w.tell(&l)
			if err := judgeLeaving(history, before, l.Holds()); err != nil {
				t.Fatalf("run %d, %v: %v", run, history, err)
			}
			before = l.Holds()
		}
	}
}

// judgeLeaving is the oracle: it knows only the words heard so far.
func judgeLeaving(history []word, before, holds bool) error {
	top, list, told := word{}, kumquatlug.VMState(""), config.Revision(-1)
	for _, w := range history {
		if w.revision > top.revision {
			top = w
		}
		if w.list != "" {
			list = w.list
		}
		if w.list == kumquatlug.VMLeaving {
			told = top.revision
		}
		if list == kumquatlug.VMLive && top.label == "false" && top.revision > told {
			told = -1
		}
	}
	switch {
	case (top.label == "true" || list == kumquatlug.VMLeaving) && !holds:
		return fmt.Errorf("gets work while one side says leaving")
	case before && !holds && list != kumquatlug.VMLive:
		return fmt.Errorf("gets work again without the list's word")
	case before && !holds && told >= 0:
		return fmt.Errorf("gets work again, the list said leaving and no label denies it since")
	case !before && holds && top.label != "true" && list != kumquatlug.VMLeaving:
		return fmt.Errorf("is leaving and nobody said so")
	}
	return nil
}
