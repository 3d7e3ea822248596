package streamversion

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Listing is the row of the platform's store that names the versions of a service at which streams may
// have begun within [Retention]. A version is listed before the first stream begins at it, so that
// a gateway which reads one version only knows the version of all streams, also if it has just
// started. Times are those of the store's clock.
type Listing struct {
	content listingRow
	row     kumquatlug.Row
	now     kumquatlug.Millis
}

type listingRow struct {
	// Era is the era of the store in which the row was written.
	Era int64 `json:"era"`
	// UncertainUntilMs is until when there may be streams of versions that are not listed.
	UncertainUntilMs int64           `json:"uncertain_until_ms,omitempty"`
	Versions         []listedVersion `json:"versions"`
}

type listedVersion struct {
	Version string `json:"version"`
	// GoneAtMs is when the version had no worker any more, zero while it has some.
	GoneAtMs int64 `json:"gone_at_ms,omitempty"`
}

// DecodeListing decodes a listing. One that was restored from an older copy, or that can't be decoded,
// may lack versions; the error says why it could not be decoded.
func DecodeListing(row kumquatlug.Row) (Listing, error) {
	l := Listing{row: row, now: row.ReadAt()}
	err := error(nil)
	if row.Exists() {
		if err = json.Unmarshal(row.Value(), &l.content); err != nil {
			l.content, err = listingRow{Era: -1}, errors.Wrap(err, "decode the versions of a service")
		}
	}
	if l.content.Era != row.Era() {
		l.content.UncertainUntilMs = int64(l.now + Retention)
	}
	l.content.Versions = slices.DeleteFunc(l.content.Versions, func(v listedVersion) bool {
		return v.GoneAtMs != 0 && kumquatlug.Millis(v.GoneAtMs) <= l.now-Retention
	})
	return l, err
}

// Sole returns the version of all streams that may be resumed, empty if there may be several or it is
// unknown.
func (l Listing) Sole() string {
	if len(l.content.Versions) != 1 || l.now < kumquatlug.Millis(l.content.UncertainUntilMs) {
		return ""
	}
	return l.content.Versions[0].Version
}

// Has reports whether streams may begin at a version.
func (l Listing) Has(version string) bool {
	return l.content.Era == l.row.Era() && slices.Contains(l.content.Versions, listedVersion{Version: version})
}

// Written returns the row after a value was written to it.
func (l Listing) Written(value []byte) kumquatlug.Row {
	return kumquatlug.NewRow(l.row.Key(), value, l.row.Version()+1).WithEra(l.row.Era()).WithReadAt(l.row.ReadAt())
}

// Add returns the row with one more version.
func (l Listing) Add(version string) ([]byte, error) {
	versions := slices.DeleteFunc(slices.Clone(l.content.Versions), func(v listedVersion) bool { return v.Version == version })
	return l.encode(append(versions, listedVersion{Version: version}))
}

// Retire returns the row in which all versions that are not present are gone, nil if nothing changes.
func (l Listing) Retire(present map[string]bool) ([]byte, error) {
	versions, changed := slices.Clone(l.content.Versions), false
	for i, v := range versions {
		if !present[v.Version] && v.GoneAtMs == 0 {
			versions[i].GoneAtMs, changed = max(int64(l.now), 1), true
		}
	}
	if !changed {
		return nil, nil
	}
	return l.encode(versions)
}

func (l Listing) encode(versions []listedVersion) ([]byte, error) {
	text, err := json.Marshal(listingRow{Era: l.row.Era(), UncertainUntilMs: l.content.UncertainUntilMs, Versions: versions})
	return text, errors.Wrap(err, "encode the versions of a service")
}
