package peer

import (
	"strconv"

	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
)

func revisionText(r config.Revision) string { return strconv.FormatInt(int64(r), 10) }

// DecodeSets decodes config sets from their wire form.
func DecodeSets(wire []*peerv1.Set) []config.Set {
	sets := make([]config.Set, len(wire))
	for i, s := range wire {
		if s.GetDeleted() {
			sets[i] = config.NewDelete(s.GetKey())
			continue
		}
		sets[i] = config.NewSet(s.GetKey(), s.GetValue())
	}
	return sets
}

// EncodeSets encodes config sets to their wire form.
func EncodeSets(sets []config.Set) []*peerv1.Set {
	wire := make([]*peerv1.Set, len(sets))
	for i, s := range sets {
		wire[i] = &peerv1.Set{Key: s.Key(), Value: s.Value(), Deleted: s.Deleted()}
	}
	return wire
}

func decodeChanges(wire []*peerv1.ConfigChange) []config.Change {
	changes := make([]config.Change, len(wire))
	for i, c := range wire {
		changes[i] = config.NewChange(config.Revision(c.GetRevision()), c.GetId(), c.GetAuthor(), DecodeSets(c.GetSets()))
	}
	return changes
}

func encodeChanges(changes []config.Change) []*peerv1.ConfigChange {
	wire := make([]*peerv1.ConfigChange, len(changes))
	for i, c := range changes {
		wire[i] = &peerv1.ConfigChange{
			Revision: int64(c.Revision()), Id: c.ID(), Author: c.Author(), Sets: EncodeSets(c.Sets()),
		}
	}
	return wire
}
