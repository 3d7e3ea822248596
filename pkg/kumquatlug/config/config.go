// Package config decides which labels, selectors and callers are in force: a
// key-value state with revisions, the log of changes in the platform's table,
// and what a node does with what it hears of newer revisions.
//
// The failures that it answers: two operators change labels at the same
// moment; the table's answer is lost after the write took effect; readers lag,
// snapshots are older than the head, nodes restart with nothing; the table is
// out for long stretches. Without it an accepted change could silently undo
// another, be applied twice, or be reverted on a node that restarted from an
// old copy, and a target that is leaving would get new work again.
//
// A change is one transaction: it compares the head row, writes head+1, one
// log row and one row under the change's id. The head row makes revisions a
// single line; the id row makes a change idempotent. A node adopts only higher
// revisions, so what it holds never goes back.
//
// Who reads the table: a few readers a data centre, chosen by rendezvous hash
// over the live nodes, poll the head; everyone else learns revisions from
// heartbeats and reports and pulls the difference from the peer that spoke. At
// ten data centres with three readers a second each that is 30 of the table's
// 2,000 reads a second, whatever the number of nodes.
//
// A node that reaches neither the table nor a peer serves on with what it
// holds. Weighed: refusing work once the head has been unconfirmed for a while.
// A region of four that is cut off for five minutes would then refuse a quarter
// of 31,000 requests a second, 2.3 million requests. Serving on risks the
// changes of these five minutes: 14,000 a day are 49, a quarter of them for
// rows on the wrong side, and of 770 VMs replaced a day 2.7, so fewer than one
// target of the cut-off side. That one is not lost either: the agent beside it
// reads the platform's list by itself, and a target may be taken away only
// when its agent has reported the revision that says so. [Adopter.Stale] tells
// operators and the time line which nodes are in that state.
package config

import (
	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Revision counts accepted changes; zero is the empty config before the first.
type Revision int64

// Set puts or removes one key.
type Set struct {
	key     string
	value   []byte
	deleted bool
}

// NewSet returns the write of value at key.
func NewSet(key string, value []byte) Set {
	return Set{key: key, value: value}
}

// NewDelete returns the removal of key.
func NewDelete(key string) Set {
	return Set{key: key, deleted: true}
}

// Key returns the key that is written or removed.
func (s Set) Key() string { return s.key }

// Value returns the bytes to store, nil for a removal; they must not be changed.
func (s Set) Value() []byte { return s.value }

// Deleted reports whether the key is removed.
func (s Set) Deleted() bool { return s.deleted }

// Change is one accepted change: all its sets are in force together from its
// revision on.
type Change struct {
	revision Revision
	id       string
	author   string
	sets     []Set
}

// NewChange returns the change that made revision.
func NewChange(revision Revision, id, author string, sets []Set) Change {
	return Change{revision: revision, id: id, author: author, sets: sets}
}

// Revision returns the revision that the change made.
func (c Change) Revision() Revision { return c.revision }

// ID returns the id that its author gave it, the same over all resends.
func (c Change) ID() string { return c.id }

// Author returns the operator who made the change.
func (c Change) Author() string { return c.author }

// Sets returns the writes and removals; they must not be changed.
func (c Change) Sets() []Set { return c.sets }

// touches reports whether the change writes one of keys.
func (c Change) touches(keys map[string]bool) bool {
	for _, s := range c.sets {
		if keys[s.key] {
			return true
		}
	}
	return false
}

// Proposal is a change that an operator asks for.
type Proposal struct {
	id     string
	author string
	base   Revision
	sets   []Set
}

// ProposalConfig is what a [Proposal] is made of.
type ProposalConfig struct {
	// ID is unique to the proposal and the same when it is sent again, so that
	// a resend through another process is not a second change.
	ID string
	// Author is the operator, shown to whoever meets the change.
	Author string
	// Base is the revision that the operator looked at. Zero means whatever
	// stands when the proposal arrives: nothing can conflict before that, and
	// a resend is recognised only for as long as the log keeps the first one.
	Base Revision
	// Sets are the writes and removals; they take effect together.
	Sets []Set
}

// NewProposal checks c and returns the proposal.
func NewProposal(c ProposalConfig) (Proposal, error) {
	if c.ID == "" || c.Author == "" || len(c.Sets) == 0 {
		return Proposal{}, errors.New("a proposal needs an id, an author and something to set")
	}
	seen := make(map[string]bool, len(c.Sets))
	for _, s := range c.Sets {
		if s.key == "" || seen[s.key] {
			return Proposal{}, errors.Newf("key %q is empty or set twice", s.key)
		}
		seen[s.key] = true
	}
	return Proposal{id: c.ID, author: c.Author, base: c.Base, sets: c.Sets}, nil
}

// ID returns the id of the proposal.
func (p Proposal) ID() string { return p.id }

// Author returns the operator.
func (p Proposal) Author() string { return p.author }

// Base returns the revision that the operator looked at.
func (p Proposal) Base() Revision { return p.base }

// Sets returns what the operator wants to set.
func (p Proposal) Sets() []Set { return p.sets }

func (p Proposal) keys() map[string]bool {
	keys := make(map[string]bool, len(p.sets))
	for _, s := range p.sets {
		keys[s.key] = true
	}
	return keys
}

// Conflict says that keys of a proposal were changed after its base. It is
// marked [kumquatlug.ErrConflict]; nothing of this send took effect.
type Conflict struct {
	base      Revision
	head      Revision
	changes   []Change
	compacted bool
}

// Error names each change in the way, its author and its revision.
func (c *Conflict) Error() string {
	if c.compacted {
		return errors.Newf("revision %d is too old to compare with %d: look again", c.base, c.head).Error()
	}
	text := "changed since you looked:"
	for _, change := range c.changes {
		text += errors.Newf(" revision %d by %s", change.revision, change.author).Error()
		for _, s := range change.sets {
			text += " " + s.key
		}
		text += ";"
	}
	return text
}

// Is reports that a conflict is marked [kumquatlug.ErrConflict].
func (c *Conflict) Is(target error) bool { return target == kumquatlug.ErrConflict }

// Base returns the revision that the operator looked at.
func (c *Conflict) Base() Revision { return c.base }

// Head returns the revision in force when the proposal arrived.
func (c *Conflict) Head() Revision { return c.head }

// Changes returns what was changed since, in order: only changes that share a
// key with the proposal. It is empty when the log no longer reaches back.
func (c *Conflict) Changes() []Change { return c.changes }

// Compacted reports that the base is older than the log that is kept. Whether
// an earlier send of the same proposal took effect is then not known either;
// without it a conflict says that none did.
func (c *Conflict) Compacted() bool { return c.compacted }
