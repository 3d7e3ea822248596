package sharedreads

import (
	"slices"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Limits of the rows that are sent to other gateways.
const (
	// partBytes bounds the keys and values of a part; with its headers and the states of
	// the sender it fits a datagram of 1,400 bytes.
	partBytes = 750
	// rowOverhead bounds the size of a row in a part without its key and value.
	rowOverhead = 28
	// maxParts bounds the parts of one message. A larger table is read from the store.
	maxParts = 128
	// maxRemoved bounds the removed rows that are remembered.
	maxRemoved = 4096
)

// rows is a copy of a table.
type rows struct {
	held bool
	era  int64
	// version is the version at which the table changed last, or a later one if that is
	// not known exactly. known is the version up to which all changes are contained: the
	// versions of the store rise with the changes of other tables, too.
	version, known int64
	byKey          map[string]kumquatlug.Row
	// removed are the rows removed after base, with the version at which they were at the
	// latest. Removals before base are not known.
	removed map[string]int64
	base    int64
}

// replace replaces all rows by those of a version, unless it is older than the one in force.
func (r *rows) replace(era, version int64, all []kumquatlug.Row) Change {
	if r.held && (era < r.era || era == r.era && version < r.known) {
		return Change{}
	}
	byKey := make(map[string]kumquatlug.Row, len(all))
	changed := !r.held || era != r.era || len(all) != len(r.byKey)
	for _, row := range all {
		byKey[row.Key()] = row
		delete(r.removed, row.Key())
		changed = changed || r.byKey[row.Key()].Version() != row.Version()
	}
	if !r.held || era != r.era {
		r.base, r.removed = version, map[string]int64{}
	} else {
		for key := range r.byKey {
			if _, present := byKey[key]; !present {
				r.noteRemoved(key, version)
			}
		}
	}
	r.held, r.era, r.byKey, r.known = true, era, byKey, version
	if changed {
		r.version = version
	}
	return Change{Rows: all, Full: true}
}

// applyFeed applies rows of the change feed up to a version. Only the last change of a key
// counts: the version of a removal is not known, and one that was followed by a write may be in
// force already.
func (r *rows) applyFeed(version int64, changed []kumquatlug.Row) Change {
	var c Change
	news := false
	last := make(map[string]int, len(changed))
	for i, row := range changed {
		last[row.Key()] = i
	}
	for i, row := range changed {
		if last[row.Key()] != i {
			continue
		}
		at := row.Version()
		if !row.Exists() {
			at = version
		}
		if at <= r.known {
			continue
		}
		news = true
		if r.applyRow(row, at) {
			c.Rows = append(c.Rows, row)
		}
	}
	r.known = max(r.known, version)
	if news {
		r.version = r.known
	}
	return c
}

// applyRow applies a row that changed at a version and reports whether it is new.
func (r *rows) applyRow(row kumquatlug.Row, at int64) bool {
	before, present := r.byKey[row.Key()]
	if present && before.Version() >= at {
		return false
	}
	if row.Exists() {
		r.byKey[row.Key()] = row
		delete(r.removed, row.Key())
		return true
	}
	delete(r.byKey, row.Key())
	r.noteRemoved(row.Key(), at)
	return present
}

func (r *rows) noteRemoved(key string, at int64) {
	if len(r.removed) >= maxRemoved {
		clear(r.removed)
		r.base = at
	}
	r.removed[key] = at
}

// wants reports whether a message contains changes that are not in force and can be applied.
func (r *rows) wants(p kumquatlug.TablePart) bool {
	if p.Era != r.era {
		return p.Era > r.era && p.After == 0
	}
	return p.After <= r.known && p.Version > r.known
}

// applyPart applies the complete rows of a message.
func (r *rows) applyPart(p kumquatlug.TablePart, complete []kumquatlug.TableRow) Change {
	if p.After == 0 {
		all := make([]kumquatlug.Row, 0, len(complete))
		for _, row := range complete {
			all = append(all, decode(row, p.Era))
		}
		return r.replace(p.Era, p.Version, all)
	}
	var c Change
	for _, row := range complete {
		if row.Version <= r.known {
			continue
		}
		if decoded := decode(row, p.Era); r.applyRow(decoded, row.Version) {
			c.Rows = append(c.Rows, decoded)
		}
	}
	r.known = max(r.known, p.Version)
	r.version = r.known
	return c
}

// partsAfter returns the rows that changed after a version as parts; the whole table if they
// are not known. There are none if they are too many.
func (r *rows) partsAfter(table string, era, after int64) []kumquatlug.TablePart {
	if era != r.era || after < r.base {
		after = 0
	}
	var changed []kumquatlug.TableRow
	for key, row := range r.byKey {
		if row.Version() > after {
			changed = append(changed, kumquatlug.TableRow{Key: key, Value: row.Value(), Version: row.Version()})
		}
	}
	if after > 0 {
		for key, at := range r.removed {
			if at > after {
				changed = append(changed, kumquatlug.TableRow{Key: key, Version: at, Removed: true})
			}
		}
	}
	slices.SortFunc(changed, func(a, b kumquatlug.TableRow) int { return strings.Compare(a.Key, b.Key) })
	return split(kumquatlug.TablePart{Table: table, Era: r.era, After: after, Version: r.version}, changed)
}
