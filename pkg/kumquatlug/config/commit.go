package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Commit makes a proposal the next revision and returns the change. The same
// proposal sent again returns the change that it made the first time.
//
// Errors: a [Conflict], marked [kumquatlug.ErrConflict], when one of its keys
// changed after its base; [kumquatlug.ErrUnavailable] when nothing took effect;
// [kumquatlug.ErrLost] when it may have taken effect and can't be read back
// now: send the same proposal again, under the same id and base.
func (s *Store) Commit(ctx context.Context, p Proposal) (Change, error) {
	for _, set := range p.sets {
		if err := Check(set); err != nil {
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

// commitOp is one run of Commit.
type commitOp struct {
	store        *Store
	proposal     Proposal
	keys         map[string]bool
	base         Revision
	baseResolved bool
	// inDoubt is the revision that a transaction would have made whose answer
	// was lost, zero when nothing is in doubt.
	inDoubt Revision
}

// markOutcome marks err by what is known: while a transaction is in doubt nothing
// is claimed about it, whatever failed afterwards.
func (op *commitOp) markOutcome(err error) error {
	if op.inDoubt == 0 {
		return err
	}
	// A fresh error carries only the mark that is true; the cause stays as text.
	lost := errors.Newf("the answer to revision %d was lost and can't be read back: %v", op.inDoubt, err)
	return errors.Mark(lost, kumquatlug.ErrLost)
}

// attempt reads the head, settles what is in doubt and sends one transaction.
func (op *commitOp) attempt(ctx context.Context) (Change, bool, error) {
	// The head is read before anything else. What is found missing afterwards
	// can't have been written under an older head any more.
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

// findCommitted finds the change if the proposal was accepted before, by this run or an
// earlier one, and clears the doubt when it certainly was not.
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
		// With the head unmoved the lost transaction may still arrive. Sending
		// it again is safe: both demand the same head, so one takes effect.
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

// checkConflicts returns a conflict when a key of the proposal changed after its base.
// What was changed elsewhere commutes, so the proposal goes on top of it.
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
	changes, err := op.store.Since(ctx, op.base)
	if errors.Is(err, kumquatlug.ErrNotFound) {
		return &Conflict{base: op.base, head: head, compacted: true}
	}
	if err != nil {
		return err
	}
	var conflicting []Change
	for _, change := range changes {
		// Changes that came after the head was read are left to the next
		// attempt: the transaction fails on them.
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

// send writes the change on top of the head at version: the head, the log row
// and the id's row take effect together or not at all. The head's version is
// condition enough: whoever made the same change in between moved it too.
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
