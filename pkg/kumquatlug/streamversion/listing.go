package streamversion

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// Listing is the row of the platform's store that lists the epochs of a service. A stream that may be
// resumed begins at the version that the newest epoch selects for its id, so that a gateway which reads
// the listing knows the version of streams that others began, also if it has just started. Times
// are those of the store's clock.
type Listing struct {
	content listingRow
	row     kumquatlug.Row
	now     kumquatlug.Millis
}

type listingRow struct {
	// Era is the era of the store in which the row was written.
	Era int64 `json:"era"`
	// UncertainUntilMs is until when there may be streams that began by epochs which are not listed.
	UncertainUntilMs int64 `json:"uncertain_until_ms,omitempty"`
	// Epochs are sorted from the oldest to the newest.
	Epochs []epoch `json:"epochs"`
	// UnboundUntilMs is until when streams for which these versions are selected may begin at any other one.
	UnboundUntilMs map[string]int64 `json:"unbound_until_ms,omitempty"`
	// UnboundSlicesUntilMs is the same for the streams of these versions whose ids are in a slice, by its number.
	UnboundSlicesUntilMs map[string]map[int]int64 `json:"unbound_slices_until_ms,omitempty"`
}

// DecodeListing decodes a listing. One that was restored from an older copy, or that can't be decoded, may
// lack epochs; the error says why it could not be decoded.
func DecodeListing(row kumquatlug.Row) (Listing, error) {
	l := Listing{row: row, now: row.ReadAt()}
	err := error(nil)
	if row.Exists() {
		err = json.Unmarshal(row.Value(), &l.content)
		if err == nil && len(l.content.Epochs) == 0 {
			err = errors.New("no epochs")
		}
		if err != nil {
			l.content, err = listingRow{Era: -1}, errors.Wrap(err, "decode the versions of a service")
		}
	}
	if l.content.Era != row.Era() {
		l.content.UncertainUntilMs = int64(l.now + epochWindow)
	}
	epochs := l.content.Epochs
	for len(epochs) > 1 && kumquatlug.Millis(epochs[1].FromMs)+epochWindow <= l.now {
		epochs = epochs[1:]
	}
	l.content.Epochs = epochs
	maps.DeleteFunc(l.content.UnboundUntilMs, func(_ string, until int64) bool { return l.expired(until) })
	for _, untilMs := range l.content.UnboundSlicesUntilMs {
		maps.DeleteFunc(untilMs, func(_ int, until int64) bool { return l.expired(until) })
	}
	maps.DeleteFunc(l.content.UnboundSlicesUntilMs, func(_ string, untilMs map[int]int64) bool { return len(untilMs) == 0 })
	return l, err
}

// expired reports whether no stream may be resumed any more that began elsewhere until a time.
func (l Listing) expired(until int64) bool { return kumquatlug.Millis(until)+epochWindow <= l.now }

// Current reports whether streams may begin by the newest epoch: it was written in the current era of the
// store.
func (l Listing) Current() bool {
	return len(l.content.Epochs) > 0 && l.content.Era == l.row.Era()
}

// NewestFrom returns when the newest epoch began.
func (l Listing) NewestFrom() kumquatlug.Millis {
	if n := len(l.content.Epochs); n > 0 {
		return kumquatlug.Millis(l.content.Epochs[n-1].FromMs)
	}
	return 0
}

// ChangedAt returns when the newest epoch began or a version was unbound last: a listing as of before then
// determines too much.
func (l Listing) ChangedAt() kumquatlug.Millis {
	at := l.NewestFrom()
	for _, until := range l.content.UnboundUntilMs {
		at = max(at, kumquatlug.Millis(until)-unboundTime)
	}
	for _, untilMs := range l.content.UnboundSlicesUntilMs {
		for _, until := range untilMs {
			at = max(at, kumquatlug.Millis(until)-unboundTime)
		}
	}
	return at
}

// Newest returns the weights of the newest epoch.
func (l Listing) Newest() Weights {
	if n := len(l.content.Epochs); n > 0 {
		return l.content.Epochs[n-1].Weights
	}
	return nil
}

// Select returns the version at which a stream begins, empty if none is listed.
func (l Listing) Select(id string) string {
	if !l.Current() {
		return ""
	}
	return l.Newest().Select(id)
}

// Determined returns the version of a stream that may be resumed if all epochs by which it may have begun
// select the same one and none of its streams may have begun elsewhere, else an empty string.
func (l Listing) Determined(id string) string {
	version, _ := l.Determine(id)
	return version
}

// Determine returns what [Listing.Determined] does, and the reason if it is empty.
func (l Listing) Determine(id string) (string, Reason) {
	if id == "" {
		return "", ReasonUnnamedStream
	}
	if !l.Current() || l.uncertain() {
		return "", ReasonUncertainListing
	}
	version := l.Newest().Select(id)
	for _, e := range l.content.Epochs {
		if e.Weights.Select(id) != version {
			return "", ReasonEpochChange
		}
	}
	_, unbound := l.content.UnboundUntilMs[version]
	if _, sliceUnbound := l.content.UnboundSlicesUntilMs[version][sliceOf(id)]; unbound || sliceUnbound {
		return "", ReasonUnboundVersion
	}
	return version, ReasonNone
}

// Unbound reports whether streams for which a version is selected may begin at any other one, at a time of
// the store's clock.
func (l Listing) Unbound(now kumquatlug.Millis, version string) bool {
	return l.Current() && now < kumquatlug.Millis(l.content.UnboundUntilMs[version])
}

// UnboundID reports whether a stream for which a version is selected may begin at any other one, at a time of the store's
// clock.
func (l Listing) UnboundID(now kumquatlug.Millis, version, id string) bool {
	return l.Unbound(now, version) || l.Current() && now < kumquatlug.Millis(l.content.UnboundSlicesUntilMs[version][sliceOf(id)])
}

// UnbindID does what [Listing.Unbind] does for the streams alone whose ids are in the slice of this one, unless too many
// slices are unbound.
func (l Listing) UnbindID(version, id string) ([]byte, error) {
	slice, before := sliceOf(id), l.content.UnboundSlicesUntilMs
	if _, known := before[version][slice]; !known && len(before[version]) >= maxUnboundSlices {
		return l.Unbind(version)
	}
	if !l.Current() || l.UnboundID(l.now+unboundTime/2, version, id) {
		return nil, nil
	}
	content := l.content
	content.UnboundSlicesUntilMs = map[string]map[int]int64{version: {}}
	for other, untilMs := range before {
		content.UnboundSlicesUntilMs[other] = maps.Clone(untilMs)
	}
	content.UnboundSlicesUntilMs[version][slice] = int64(l.now + unboundTime)
	return encodeListing(content)
}

// sliceOf returns the slice of the ids in which an id is.
func sliceOf(id string) int { return int(rendezvous.Mix(xxhash.Sum64String(id)) % idSlices) }

// Unbind returns the row in which streams for which a version is selected may begin at any other one for a
// while, nil if they may for most of that time already. The version of such streams is not determined.
func (l Listing) Unbind(version string) ([]byte, error) {
	if !l.Current() || l.Unbound(l.now+unboundTime/2, version) {
		return nil, nil
	}
	content := l.content
	if content.UnboundUntilMs = maps.Clone(content.UnboundUntilMs); content.UnboundUntilMs == nil {
		content.UnboundUntilMs = map[string]int64{}
	}
	content.UnboundUntilMs[version] = int64(l.now + unboundTime)
	return encodeListing(content)
}

// uncertain reports whether there may be streams of epochs that are not listed.
func (l Listing) uncertain() bool { return l.now < kumquatlug.Millis(l.content.UncertainUntilMs) }

// Sole returns the version of all streams that may be resumed, empty if there may be several or it is
// unknown.
func (l Listing) Sole() string {
	versions := l.Versions()
	if len(versions) != 1 || !l.Current() || l.uncertain() {
		return ""
	}
	return versions[0]
}

// Versions returns the versions at which streams that may be resumed can have begun, in order.
func (l Listing) Versions() []string {
	all := Weights{}
	for _, e := range l.content.Epochs {
		maps.Copy(all, e.Weights)
	}
	return all.Versions()
}

// Lacks reports whether the newest epoch is missing, or selects a version for some stream that has no
// worker in the given weights.
func (l Listing) Lacks(present Weights) bool {
	if !l.Current() {
		return true
	}
	return slices.ContainsFunc(l.Newest().Versions(), func(version string) bool { return !present.Has(version) })
}

// OtherVersions reports whether the versions of the newest epoch are not those of the present workers.
func (l Listing) OtherVersions(present Weights) bool {
	return !slices.Equal(l.Newest().Versions(), present.Versions())
}

// Outdated reports whether the shares of the newest epoch differ so much from those of the present workers
// that a new epoch should begin.
func (l Listing) Outdated(present Weights) bool {
	return l.OtherVersions(present) || l.Newest().distance(present) > maxShareError
}

// Written returns the row after a value was written to it.
func (l Listing) Written(value []byte) kumquatlug.Row {
	return kumquatlug.NewRow(l.row.Key(), value, l.row.Version()+1).WithEra(l.row.Era()).WithReadAt(l.row.ReadAt())
}

// Begin returns the row with a new epoch, nil if the newest one has just begun or no version is present.
func (l Listing) Begin(present Weights) ([]byte, error) {
	if len(present.Versions()) == 0 || l.Current() && l.now < l.NewestFrom()+minEpochInterval {
		return nil, nil
	}
	weights := Weights{}
	for _, version := range present.Versions() {
		weights[version] = present[version]
	}
	// One with the same weights that is listed later counts for longer.
	epochs := slices.DeleteFunc(slices.Clone(l.content.Epochs), func(e epoch) bool { return maps.Equal(e.Weights, weights) })
	content := l.content
	content.Era = l.row.Era()
	if dropped := len(epochs) + 1 - maxEpochs; dropped > 0 {
		// Streams that began by the dropped epochs are known from records alone.
		epochs = epochs[dropped:]
		content.UncertainUntilMs = int64(l.now + epochWindow)
	}
	content.Epochs = append(epochs, epoch{FromMs: int64(max(l.now, l.NewestFrom())), Weights: weights})
	return encodeListing(content)
}

func encodeListing(content listingRow) ([]byte, error) {
	text, err := json.Marshal(content)
	return text, errors.Wrap(err, "encode the versions of a service")
}
