// Package streamversion determines at which version of its workers' software a stream may go on.
//
// Workers of several versions may serve one service side by side, and what two versions write does
// not fit together: a stream goes on only at the version that began it. The gateway that began a
// stream knows the version, but its client may take the stream up at any other gateway, also
// after the first one has been killed. Two sources answer there:
//
//   - the [Listing] in the platform's store holds the weights of the versions by epoch. A stream
//     begins at the version that the newest epoch selects for its id. While all epochs of the last
//     minute select the same version for an id, nobody needs to remember anything about the stream.
//   - the [Records] of streams that began by an epoch of which the selection has changed since, or
//     that no listing confirms. They are sent to the owners of the id (see [Owners]).
//
// Where neither answers, the version is unknown, and the stream does not go on.
package streamversion

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Parameters of what is remembered about streams.
const (
	// Retention is how long a stream and its record are remembered, and a version counts after
	// its last worker has gone: longer than a client waits for a stream, its resumes included.
	Retention = 60 * kumquatlug.Second
	// RecordOwners is the number of gateways that get the record of a stream from the gateway
	// that began it.
	RecordOwners = 2
	// AskedOwners is the number of gateways that are asked: the gateway that began the stream may
	// be one of the first.
	AskedOwners = RecordOwners + 1
	// maxRecords bounds the memory for records. 2,300 gateways with 31,000 streams a second send
	// each of them 27 records a second, thus 1,600 within Retention.
	maxRecords = 50_000
)
