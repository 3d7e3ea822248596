package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Commit makes a proposal the next revision and returns the change. Sending the same
// proposal again returns the change that the first send created.
//
// Errors: a [Conflict], which matches [kumquatlug.ErrConflict], when one of the
// proposal's keys changed after its base; [kumquatlug.ErrUnavailable] when nothing
// took effect; [kumquatlug.ErrLost] when the proposal may have taken effect and the
// result can't be read back now: send it again with the same id and base.
func (s *Store) Commit(ctx context.Context, p Proposal) (Change, error) {
	for _, set := range p.sets {
		if err := ValidateSet(set); err != nil {
			return Change{}, err
		}
	}
	op := &commitOp{store: s, proposal: p, keys: p.keys(), base: p.base}
	for range s.maxAttempts {
		change, done, err := op.attempt(ctx)
		if done && err == nil {
			return change, nil
		}
		if done || err != nil {
			return Change{}, op.markOutcome(err)
		}
	}
	return Change{}, op.markOutcome(unavailable(errors.Newf("the head moved %d times in between", s.maxAttempts)))
}

// commitOp is the state of one call of Commit.
type commitOp struct {
	store        *Store
	proposal     Proposal
	keys         map[string]bool
	base         Revision
	baseResolved bool
	// inDoubt is the revision of a transaction whose response was lost, zero when
	// no transaction is in doubt.
	inDoubt Revision
}

// markOutcome marks err as ErrLost while a transaction is in doubt, whatever failed
// afterwards: the outcome of that transaction is unknown.
func (op *commitOp) markOutcome(err error) error {
	if op.inDoubt == 0 {
		return err
	}
	// A new error drops the marks of err, which don't hold here, and keeps its text.
	lost := errors.Newf("the answer to revision %d was lost and can't be read back: %v", op.inDoubt, err)
	return errors.Mark(lost, kumquatlug.ErrLost)
}

// attempt reads the head, resolves a transaction in doubt and sends one transaction.
func (op *commitOp) attempt(ctx context.Context) (Change, bool, error) {
	// The head is read first: a row that is missing afterwards can no longer be
	// written by a transaction that requires an older head.
	head, version, err := op.store.readPointer(ctx, keyHead)
	if err != nil {
		return Change{}, false, err
	}
	change, done, err := op.findCommitted(ctx, head.Revision)
	if done || err != nil {
		return change, done, err
	}
	if err := op.checkConflicts(ctx, head.Revision); err != nil {
		return Change{}, true, err
	}
	change = NewChange(head.Revision+1, op.proposal.id, op.proposal.author, op.proposal.sets)
	err = op.send(ctx, change, version)
	switch {
	case err == nil:
		return change, true, nil
	case errors.Is(err, kumquatlug.ErrLost):
		op.inDoubt = change.revision
		return Change{}, false, nil
	case errors.Is(err, kumquatlug.ErrConflict):
		return Change{}, false, nil
	default:
		return Change{}, false, err
	}
}

// findCommitted returns the change if the proposal was already accepted, by this call
// or an earlier one. It clears inDoubt when the transaction certainly failed.
func (op *commitOp) findCommitted(ctx context.Context, head Revision) (Change, bool, error) {
	row, err := op.store.table.Get(ctx, prefixChange+op.proposal.id)
	if err != nil {
		return Change{}, false, errors.Wrap(err, "look for the change")
	}
	if row.Exists() {
		change, err := DecodeChange(row.Value())
		return change, err == nil, err
	}
	if op.inDoubt == 0 || head < op.inDoubt {
		// While the head has not moved, the lost transaction may still arrive.
		// Sending it again is safe: both require the same head, so at most one takes
		// effect.
		return Change{}, false, nil
	}
	row, err = op.store.table.Get(ctx, logKey(op.inDoubt))
	if err != nil {
		return Change{}, false, errors.Wrap(err, "look for the revision")
	}
	if !row.Exists() {
		return Change{}, false, errors.Newf("revision %d is no longer in the log", op.inDoubt)
	}
	change, err := DecodeChange(row.Value())
	if err != nil || change.id == op.proposal.id {
		return change, err == nil, err
	}
	op.inDoubt = 0
	return Change{}, false, nil
}

// checkConflicts returns a Conflict when a key of the proposal changed after its base.
// Changes to other keys commute with the proposal, so it is applied after them.
func (op *commitOp) checkConflicts(ctx context.Context, head Revision) error {
	if !op.baseResolved && op.base == 0 {
		op.base = head
	}
	op.baseResolved = true
	if op.base > head {
		return errors.Newf("the table is at revision %d, older than %d that was seen: it lost changes", head, op.base)
	}
	if op.base == head {
		return nil
	}
	changes, err := op.store.ChangesSince(ctx, op.base)
	if errors.Is(err, kumquatlug.ErrNotFound) {
		return &Conflict{base: op.base, head: head, compacted: true}
	}
	if err != nil {
		return err
	}
	var conflicting []Change
	for _, change := range changes {
		// Changes made after the head was read are left to the next attempt: they
		// make this transaction fail.
		if change.revision <= head && change.touches(op.keys) {
			conflicting = append(conflicting, change)
		}
	}
	if len(conflicting) > 0 {
		return &Conflict{base: op.proposal.base, head: head, changes: conflicting}
	}
	op.base = head
	return nil
}

// send commits the change if the head row still has the given version. The head, the
// log row and the id row are written atomically. The condition on the head alone is
// sufficient: another send of the same change would have changed its version too.
func (op *commitOp) send(ctx context.Context, change Change, version int64) error {
	headValue, err := json.Marshal(pointer{Revision: change.revision, Change: change.id})
	if err != nil {
		return errors.Wrap(err, "encode the head")
	}
	encoded, err := change.Encode()
	if err != nil {
		return err
	}
	idKey := prefixChange + change.id
	tx := kumquatlug.NewTx(fmt.Sprintf("%s@%d", change.id, change.revision)).
		If(keyHead, version).
		Put(keyHead, headValue).Put(logKey(change.revision), encoded).Put(idKey, encoded)
	return errors.Wrap(op.store.table.Commit(ctx, tx), "commit the change")
}
