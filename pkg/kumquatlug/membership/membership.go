// Package membership decides which targets an entry may use, from two sources
// that are both wrong at times: the platform's list of VMs, which lags, and the
// heartbeats that the entry asks of each agent.
//
// What goes wrong without it: a VM that vanished stays in the list for a while,
// and every request sent there waits for a connection that never comes; a VM
// that is new in the list does not answer yet; a VM that the list has dropped
// by mistake would lose its work. So the list says whom to ask and who is
// leaving, and the heartbeats say who is there.
//
// Figures. A heartbeat and its answer take 580 bytes on the wire, packet headers
// included (docs/CAPACITY.md); at 5 KB/s a node they must be spread out as the
// number of targets grows, which [Interval] does: 15 targets each 2.2 s, 20 each
// 2.9 s. A target is down after three missed
// heartbeats in a row: one is lost to a pause of the collector or a dropped
// packet, three in a row are not, and meanwhile failed calls already keep work
// away.
package membership

import (
	"sort"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// State is what an entry holds of a target.
type State string

// The states of a member.
const (
	// StateNew: listed, not heard yet.
	StateNew State = "new"
	// StateUp: the last heartbeat was answered.
	StateUp State = "up"
	// StateDown: MissedForDown heartbeats in a row brought no answer.
	StateDown State = "down"
)

// Figures of the package.
const (
	// MissedForDown is how many heartbeats in a row must fail.
	MissedForDown = 3
	// MinInterval is the shortest span between two heartbeats to one target.
	MinInterval = kumquatlug.Second
	// HeartbeatBytes is what one heartbeat takes on the wire, both ways.
	HeartbeatBytes = 580
	// ControlBytes is what heartbeats may take a second of the 5 KB that a node
	// may spend on control.
	ControlBytes = 4_000
)

// Interval returns the span between two heartbeats to one target when an entry
// asks this many, so that all together stay within ControlBytes.
func Interval(targets int) kumquatlug.Millis {
	spread := kumquatlug.Millis(targets) * kumquatlug.Second * HeartbeatBytes / ControlBytes
	return max(MinInterval, spread)
}

// Change says that a member went from one state to another.
type Change struct {
	name string
	from State
	to   State
}

// Name returns the member's name.
func (c Change) Name() string { return c.name }

// From returns the state before.
func (c Change) From() State { return c.from }

// To returns the state now.
func (c Change) To() State { return c.to }

// Member is a target as an entry sees it.
type Member struct {
	vm               kumquatlug.VM
	listed           bool
	state            State
	incarnation      string
	lastAnsweredAt   kumquatlug.Millis
	missedHeartbeats int
}

// VM returns what the platform's list last said.
func (m Member) VM() kumquatlug.VM { return m.vm }

// State returns whether heartbeats are answered.
func (m Member) State() State { return m.state }

// Incarnation returns the id of the agent's process, empty before it was heard.
func (m Member) Incarnation() string { return m.incarnation }

// HeardAt returns when the last heartbeat was answered, zero for never.
func (m Member) HeardAt() kumquatlug.Millis { return m.lastAnsweredAt }

// Leaving reports whether the platform's list says that the VM is leaving.
func (m Member) Leaving() bool { return m.vm.State() == kumquatlug.VMLeaving }

// Members is what an entry knows of the targets. One goroutine owns it.
type Members struct {
	members map[string]*Member
	names   []string
}

// New returns an empty set of members.
func New() *Members {
	return &Members{members: map[string]*Member{}}
}

// Listed takes in the platform's list, of which only target VMs count. A
// member that is no longer listed stays while it answers heartbeats, since the
// list may be wrong and its work is real; it goes once it is not up.
func (m *Members) Listed(vms []kumquatlug.VM) {
	for _, member := range m.members {
		member.listed = false
	}
	for _, vm := range vms {
		if vm.Role() == kumquatlug.VMTarget {
			m.addListed(vm)
		}
	}
	for name, member := range m.members {
		if !member.listed && member.state != StateUp {
			delete(m.members, name)
		}
	}
	m.sortNames()
}

func (m *Members) addListed(vm kumquatlug.VM) {
	member, known := m.members[vm.Name()]
	if !known {
		member = &Member{state: StateNew}
		m.members[vm.Name()] = member
	}
	if member.vm.Address() != vm.Address() {
		// Another VM took the name: what was heard of the old one is void.
		*member = Member{state: StateNew}
	}
	member.vm = vm
	member.listed = true
}

func (m *Members) sortNames() {
	m.names = m.names[:0]
	for name := range m.members {
		m.names = append(m.names, name)
	}
	sort.Strings(m.names)
}

// Heard takes in an answered heartbeat and returns what it changed, if
// anything.
func (m *Members) Heard(now kumquatlug.Millis, name, incarnation string) (Change, bool) {
	member, known := m.members[name]
	if !known {
		return Change{}, false
	}
	change := Change{name: name, from: member.state, to: StateUp}
	restarted := member.incarnation != "" && member.incarnation != incarnation
	member.state = StateUp
	member.incarnation = incarnation
	member.lastAnsweredAt = now
	member.missedHeartbeats = 0
	return change, change.from != StateUp || restarted
}

// Missed takes in a heartbeat without an answer and returns what it changed,
// if anything.
func (m *Members) Missed(name string) (Change, bool) {
	member, known := m.members[name]
	if !known {
		return Change{}, false
	}
	member.missedHeartbeats++
	if member.missedHeartbeats < MissedForDown || member.state == StateDown {
		return Change{}, false
	}
	change := Change{name: name, from: member.state, to: StateDown}
	member.state = StateDown
	return change, true
}

// Names returns the members' names in order; the slice is valid until the next
// call of Listed.
func (m *Members) Names() []string { return m.names }

// Get returns the member called name.
func (m *Members) Get(name string) (Member, bool) {
	member, known := m.members[name]
	if !known {
		return Member{}, false
	}
	return *member, true
}
