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
	t := &try{store: s, proposal: p, keys: p.keys(), base: p.base}
	for range s.attempts {
		change, done, err := t.once(ctx)
		if done && err == nil {
			return change, nil
		}
		if done || err != nil {
			return Change{}, t.judged(err)
		}
	}
	return Change{}, t.judged(unavailable(errors.Newf("the head moved %d times in between", s.attempts)))
}

// try is one run of Commit.
type try struct {
	store    *Store
	proposal Proposal
	keys     map[string]bool
	base     Revision
	started  bool
	// doubt is the revision that a transaction would have made whose answer
	// was lost, zero when nothing is in doubt.
	doubt Revision
}

// judged marks err by what is known: while a transaction is in doubt nothing
// is claimed about it, whatever failed afterwards.
func (t *try) judged(err error) error {
	if t.doubt == 0 {
		return err
	}
	// A fresh error carries only the mark that is true; the cause stays as text.
	lost := errors.Newf("the answer to revision %d was lost and can't be read back: %v", t.doubt, err)
	return errors.Mark(lost, kumquatlug.ErrLost)
}

// once reads the head, settles what is in doubt and sends one transaction.
func (t *try) once(ctx context.Context) (Change, bool, error) {
	// The head is read before anything else. What is found missing afterwards
	// can't have been written under an older head any more.
	head, version, err := t.store.pointer(ctx, keyHead)
	if err != nil {
		return Change{}, false, err
	}
	change, done, err := t.made(ctx, head.Revision)
	if done || err != nil {
		return change, done, err
	}
	if err := t.compare(ctx, head.Revision); err != nil {
		return Change{}, true, err
	}
	change = NewChange(head.Revision+1, t.proposal.id, t.proposal.author, t.proposal.sets)
	err = t.send(ctx, change, version)
	switch {
	case err == nil:
		return change, true, nil
	case errors.Is(err, kumquatlug.ErrLost):
		t.doubt = change.revision
		return Change{}, false, nil
	case errors.Is(err, kumquatlug.ErrConflict):
		return Change{}, false, nil
	default:
		return Change{}, false, err
	}
}

// made finds the change if the proposal was accepted before, by this run or an
// earlier one, and clears the doubt when it certainly was not.
func (t *try) made(ctx context.Context, head Revision) (Change, bool, error) {
	row, err := t.store.table.Get(ctx, prefixChange+t.proposal.id)
	if err != nil {
		return Change{}, false, errors.Wrap(err, "look for the change")
	}
	if row.Exists() {
		change, err := DecodeChange(row.Value())
		return change, err == nil, err
	}
	if t.doubt == 0 || head < t.doubt {
		// With the head unmoved the lost transaction may still arrive. Sending
		// it again is safe: both demand the same head, so one takes effect.
		return Change{}, false, nil
	}
	row, err = t.store.table.Get(ctx, logKey(t.doubt))
	if err != nil {
		return Change{}, false, errors.Wrap(err, "look for the revision")
	}
	if !row.Exists() {
		return Change{}, false, errors.Newf("revision %d is no longer in the log", t.doubt)
	}
	change, err := DecodeChange(row.Value())
	if err != nil || change.id == t.proposal.id {
		return change, err == nil, err
	}
	t.doubt = 0
	return Change{}, false, nil
}

// compare returns a conflict when a key of the proposal changed after its base.
// What was changed elsewhere commutes, so the proposal goes on top of it.
func (t *try) compare(ctx context.Context, head Revision) error {
	if !t.started && t.base == 0 {
		t.base = head
	}
	t.started = true
	if t.base > head {
		return errors.Newf("the table is at revision %d, older than %d that was seen: it lost changes", head, t.base)
	}
	if t.base == head {
		return nil
	}
	changes, err := t.store.Since(ctx, t.base)
	if errors.Is(err, kumquatlug.ErrNotFound) {
		return &Conflict{base: t.base, head: head, compacted: true}
	}
	if err != nil {
		return err
	}
	var others []Change
	for _, change := range changes {
		// Changes that came after the head was read are left to the next
		// attempt: the transaction fails on them.
		if change.revision <= head && change.touches(t.keys) {
			others = append(others, change)
		}
	}
	if len(others) > 0 {
		return &Conflict{base: t.proposal.base, head: head, changes: others}
	}
	t.base = head
	return nil
}

// send writes the change on top of the head at version: the head, the log row
// and the id's row take effect together or not at all. The head's version is
// condition enough: whoever made the same change in between moved it too.
func (t *try) send(ctx context.Context, change Change, version int64) error {
	head, err := json.Marshal(pointer{Revision: change.revision, Change: change.id})
	if err != nil {
		return errors.Wrap(err, "encode the head")
	}
	text, err := change.Encode()
	if err != nil {
		return err
	}
	id := prefixChange + change.id
	tx := kumquatlug.NewTx(fmt.Sprintf("%s@%d", change.id, change.revision)).
		If(keyHead, version).
		Put(keyHead, head).Put(logKey(change.revision), text).Put(id, text)
	return errors.Wrap(t.store.table.Commit(ctx, tx), "commit the change")
}
