package sharedreads

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// split distributes rows over parts of at most partBytes. A larger row is split into pieces,
// which are consecutive rows with the same key. There is at least one part, and none if
// there would be more than maxParts.
func split(header kumquatlug.TablePart, changed []kumquatlug.TableRow) []kumquatlug.TablePart {
	parts := []kumquatlug.TablePart{header}
	free := partBytes
	add := func(row kumquatlug.TableRow) {
		parts[len(parts)-1].Rows = append(parts[len(parts)-1].Rows, row)
		free -= rowOverhead + len(row.Key) + len(row.Value)
	}
	for _, row := range changed {
		fixed := rowOverhead + len(row.Key)
		if fixed >= partBytes {
			return nil
		}
		for value, first := row.Value, true; first || len(value) > 0; first = false {
			if size := fixed + len(value); size > free && (size <= partBytes || fixed >= free) {
				parts, free = append(parts, header), partBytes
			}
			n := min(len(value), free-fixed)
			add(kumquatlug.TableRow{Key: row.Key, Value: value[:n], Version: row.Version, Removed: row.Removed})
			value = value[n:]
		}
		if len(parts) > maxParts {
			return nil
		}
	}
	for i := range parts {
		parts[i].Part, parts[i].Parts = i, len(parts)
	}
	return parts
}

// assembly holds the parts of one message.
type assembly struct {
	header  kumquatlug.TablePart
	rows    [][]kumquatlug.TableRow
	present []bool
	missing int
}

// newAssembly returns the assembly of a message, nil if the number of parts is invalid.
func newAssembly(p kumquatlug.TablePart) *assembly {
	if p.Parts <= 0 || p.Parts > maxParts {
		return nil
	}
	return &assembly{header: p, rows: make([][]kumquatlug.TableRow, p.Parts), present: make([]bool, p.Parts), missing: p.Parts}
}

// matches reports whether a part belongs to the message.
func (a *assembly) matches(p kumquatlug.TablePart) bool {
	h := a.header
	return h.Era == p.Era && h.After == p.After && h.Version == p.Version && h.Parts == p.Parts
}

// add adds a part and returns the complete rows if none is missing.
func (a *assembly) add(p kumquatlug.TablePart) ([]kumquatlug.TableRow, bool) {
	if p.Part < 0 || p.Part >= len(a.rows) || a.present[p.Part] {
		return nil, false
	}
	a.rows[p.Part], a.present[p.Part] = p.Rows, true
	a.missing--
	if a.missing > 0 {
		return nil, false
	}
	var complete []kumquatlug.TableRow
	for _, rows := range a.rows {
		for _, row := range rows {
			if last := len(complete) - 1; last >= 0 && complete[last].Key == row.Key {
				complete[last].Value = append(complete[last].Value[:len(complete[last].Value):len(complete[last].Value)], row.Value...)
				continue
			}
			complete = append(complete, row)
		}
	}
	return complete, true
}

// decode returns a row of an era; without a version if it was removed.
func decode(r kumquatlug.TableRow, era int64) kumquatlug.Row {
	if r.Removed {
		return kumquatlug.NewRow(r.Key, nil, 0).WithEra(era)
	}
	return kumquatlug.NewRow(r.Key, r.Value, r.Version).WithEra(era)
}
