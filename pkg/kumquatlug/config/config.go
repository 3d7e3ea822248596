// Package config is the distributed configuration: which labels, selectors and
// callers are in force. It holds a key-value state with revisions, the log of
// changes in the platform's table, and the rules by which a node learns of newer
// revisions and adopts them.
//
// It handles these failures: two operators change labels at the same time; the
// table's response is lost after the write took effect; readers lag, snapshots are
// older than the head, nodes restart with no state; the table is unavailable for
// long periods. Without these rules an accepted change could silently undo
// another, be applied twice, or be reverted on a node that restarted from an old
// copy, and a target that is leaving would get new work again.
//
// A change is one transaction: it compares the head row and writes head+1, one log
// row and one row under the change's id. The head row puts the revisions in one
// linear order; the id row makes a change idempotent. A node adopts only higher
// revisions, so its state never goes back.
//
// In each data centre a few readers, chosen by rendezvous hash over the live nodes,
// poll the head in the table. All other nodes learn revisions from heartbeats and
// reports and pull the missing changes from the peer that sent them. With ten data
// centres and three readers each, polling once a second, that is 30 of the table's
// 2,000 reads a second, whatever the number of nodes.
//
// A node that reaches neither the table nor a peer continues to serve with its last
// state. The alternative, refusing work once the head has been unconfirmed for some
// time, costs more: if one of four regions is partitioned for five minutes, it refuses
// a quarter of 31,000 requests a second, 2.3 million requests. Continuing to serve
// risks the changes of these five minutes. At 14,000 changes a day these are 49, a
// quarter of them to rows of the partitioned region; of 770 VMs replaced a day, 2.7
// are replaced in that time, so fewer than one target of that region. Even that target
// loses nothing: the agent beside it reads the platform's VM list itself, and a target
// may be removed only after its agent has reported the revision that marks it as
// leaving. [Adopter.Stale] reports whether a node is partitioned, for operators and
// the timeline.
package config

import (
	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Revision is the number of accepted changes. Zero is the empty config before the
// first change.
type Revision int64

// Set is the write or removal of one key.
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

// Value returns the bytes to store, nil for a removal. The caller must not modify
// them.
func (s Set) Value() []byte { return s.value }

// Deleted reports whether the key is removed.
func (s Set) Deleted() bool { return s.deleted }

// Change is one accepted change. All its sets take effect together at its revision.
type Change struct {
	revision Revision
	id       string
	author   string
	sets     []Set
}

// NewChange returns the change that created revision.
func NewChange(revision Revision, id, author string, sets []Set) Change {
	return Change{revision: revision, id: id, author: author, sets: sets}
}

// Revision returns the revision that the change created.
func (c Change) Revision() Revision { return c.revision }

// ID returns the id that the author gave the change. It is the same for all resends.
func (c Change) ID() string { return c.id }

// Author returns the operator who made the change.
func (c Change) Author() string { return c.author }

// Sets returns the writes and removals. The caller must not modify the slice.
func (c Change) Sets() []Set { return c.sets }

// touches reports whether the change writes or removes one of keys.
func (c Change) touches(keys map[string]bool) bool {
	for _, s := range c.sets {
		if keys[s.key] {
			return true
		}
	}
	return false
}

// Proposal is a change that an operator requests.
type Proposal struct {
	id     string
	author string
	base   Revision
	sets   []Set
}

// ProposalConfig holds the parameters of a [Proposal].
type ProposalConfig struct {
	// ID is unique to the proposal and the same for all resends, so that a resend
	// through another process is not a second change.
	ID string
	// Author is the operator, named in conflicts with the change.
	Author string
	// Base is the revision on which the operator based the proposal. Zero means the
	// head when the proposal arrives: earlier changes can't conflict, and a resend
	// is recognised only while the log retains the first send.
	Base Revision
	// Sets holds the writes and removals. They take effect together.
	Sets []Set
}

// NewProposal validates c and returns the proposal. The id, the author and at least
// one set are required; keys must be non-empty and unique.
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

// Author returns the operator who sent the proposal.
func (p Proposal) Author() string { return p.author }

// Base returns the revision on which the proposal is based, zero for the head.
func (p Proposal) Base() Revision { return p.base }

// Sets returns the writes and removals.
func (p Proposal) Sets() []Set { return p.sets }

func (p Proposal) keys() map[string]bool {
	keys := make(map[string]bool, len(p.sets))
	for _, s := range p.sets {
		keys[s.key] = true
	}
	return keys
}

// Conflict is the error for a proposal whose keys were changed after its base. It
// matches [kumquatlug.ErrConflict]. This send of the proposal had no effect.
type Conflict struct {
	base      Revision
	head      Revision
	changes   []Change
	compacted bool
}

// Error names each conflicting change with its revision, author and keys.
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

// Is reports whether target is [kumquatlug.ErrConflict].
func (c *Conflict) Is(target error) bool { return target == kumquatlug.ErrConflict }

// Base returns the revision on which the proposal is based.
func (c *Conflict) Base() Revision { return c.base }

// Head returns the head revision with which the proposal was compared.
func (c *Conflict) Head() Revision { return c.head }

// Changes returns the changes after the base that share a key with the proposal, in
// revision order. It is empty when the log no longer reaches back to the base.
func (c *Conflict) Changes() []Change { return c.changes }

// Compacted reports whether the base is older than the retained log. If so, it is
// unknown whether an earlier send of the same proposal took effect; otherwise a
// conflict means that none did.
func (c *Conflict) Compacted() bool { return c.compacted }
