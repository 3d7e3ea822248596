// Package membership determines which targets a gateway may use, from two sources that are
// both unreliable: the platform's list of VMs, which lags, and the heartbeats that the gateway
// sends to each agent.
//
// A VM that has failed stays in the list for a while, and requests sent to it would wait for a
// connection that is never accepted. A VM that is new in the list does not respond yet. A VM
// that is missing from the list by mistake would lose its work. The list therefore defines
// which targets get heartbeats and which are leaving, and the heartbeats which are reachable.
//
// A heartbeat and its response take 580 bytes on the wire including packet headers
// (docs/CAPACITY.md). To stay within 5 KB/s per node, the interval grows with the number of
// targets, see [Interval]: 2.2 s for 15 targets, 2.9 s for 20. A target is down after three
// consecutive missed heartbeats: a garbage collection pause or a dropped packet can cause one,
// but not three, and failed calls already keep work away from the target in the meantime.
package membership

import (
	"sort"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// State is the state of a target as a gateway sees it.
type State string

// The states of a member.
const (
	// StateNew: listed, no heartbeat answered yet.
	StateNew State = "new"
	// StateUp: a heartbeat was answered, and fewer than DownAfterMissed were missed since.
	StateUp State = "up"
	// StateDown: the last DownAfterMissed heartbeats or more were not answered.
	StateDown State = "down"
)

// Parameters of heartbeats.
const (
	// DownAfterMissed is the number of consecutive missed heartbeats after which a target is down.
	DownAfterMissed = 3
	// MinInterval is the shortest interval of the heartbeats to one target.
	MinInterval = kumquatlug.Second
	// HeartbeatBytes is the size of a heartbeat and its response on the wire.
	HeartbeatBytes = 580
	// MaxHeartbeatBytesPerSecond is the limit for heartbeats in bytes per second, out of
	// the 5 KB per second that a node may use for control traffic.
	MaxHeartbeatBytesPerSecond = 4_000
)

// Interval returns the interval of the heartbeats to one target for a gateway that sends them
// to this many, so that all together stay within MaxHeartbeatBytesPerSecond.
func Interval(targets int) kumquatlug.Millis {
	spread := kumquatlug.Millis(targets) * kumquatlug.Second * HeartbeatBytes / MaxHeartbeatBytesPerSecond
	return max(MinInterval, spread)
}

// Change is a change of a member's state.
type Change struct {
	name string
	from State
	to   State
}

// Name returns the name of the member.
func (c Change) Name() string { return c.name }

// From returns the previous state.
func (c Change) From() State { return c.from }

// To returns the new state.
func (c Change) To() State { return c.to }

// Member is a target as a gateway sees it.
type Member struct {
	vm               kumquatlug.VM
	listed           bool
	state            State
	incarnation      string
	lastAnsweredAt   kumquatlug.Millis
	missedHeartbeats int
}

// VM returns the VM as last listed by the platform.
func (m Member) VM() kumquatlug.VM { return m.vm }

// State returns the state of the member.
func (m Member) State() State { return m.state }

// Incarnation returns the ID of the agent's process, empty before the first answered heartbeat.
func (m Member) Incarnation() string { return m.incarnation }

// LastAnsweredAt returns when the last heartbeat was answered, zero if none was.
func (m Member) LastAnsweredAt() kumquatlug.Millis { return m.lastAnsweredAt }

// Leaving reports whether the VM is leaving according to the platform's list.
func (m Member) Leaving() bool { return m.vm.State() == kumquatlug.VMLeaving }

// Members holds the targets that a gateway knows. It is not safe for concurrent use.
type Members struct {
	members map[string]*Member
	names   []string
}

// New returns an empty set of members.
func New() *Members {
	return &Members{members: map[string]*Member{}}
}

// SetVMs updates the members from the platform's list; only target VMs count. A member that
// is no longer listed is kept while it answers heartbeats, since the list may be wrong and the
// target has calls in flight. It is removed when it is not up.
func (m *Members) SetVMs(vms []kumquatlug.VM) {
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
		// Another VM has the same name: discard the state of the old one.
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

// HeartbeatAnswered records an answered heartbeat. It returns the change, and whether the
// target came up or its agent was restarted.
func (m *Members) HeartbeatAnswered(now kumquatlug.Millis, name, incarnation string) (Change, bool) {
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

// HeartbeatMissed records a heartbeat that was not answered. It returns the change, and whether the
// target went down.
func (m *Members) HeartbeatMissed(name string) (Change, bool) {
	member, known := m.members[name]
	if !known {
		return Change{}, false
	}
	member.missedHeartbeats++
	if member.missedHeartbeats < DownAfterMissed || member.state == StateDown {
		return Change{}, false
	}
	change := Change{name: name, from: member.state, to: StateDown}
	member.state = StateDown
	return change, true
}

// Names returns the sorted names of the members. The slice is valid until the next call of
// SetVMs.
func (m *Members) Names() []string { return m.names }

// Get returns the member with this name.
func (m *Members) Get(name string) (Member, bool) {
	member, known := m.members[name]
	if !known {
		return Member{}, false
	}
	return *member, true
}
