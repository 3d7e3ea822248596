package gateway

import (
	"context"
	"net/http"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

const (
	// maxVersionWait is how long a request that goes on with a stream waits for the engines of its
	// version: an engine that has refused a request gets no other one for up to 800 ms, and
	// clients abandon a stream after a pause of two seconds.
	maxVersionWait = 1200 * kumquatlug.Millis(1)
	// versionWaitInterval is how often such a request looks for an engine.
	versionWaitInterval = 25 * kumquatlug.Millis(1)
	// maxNewVersionWait is how long a new stream waits for the engines of its version if they are full, at most a third
	// of its time: as long as an engine that refuses requests gets none. Its client's retry has another id, which may
	// select another version.
	maxNewVersionWait = 800 * kumquatlug.Millis(1)
	// newVersionWaitInterval is how often such a stream looks for an engine. Many may wait, and each looks at all engines.
	newVersionWaitInterval = 50 * kumquatlug.Millis(1)
)

// versionWait is how a request waits for the engines of the version of its stream.
type versionWait struct {
	// until is when it gives up, zero before the first wait.
	until kumquatlug.Millis
	// continues says that until is for the rest of a stream, which clients await longer than its beginning.
	continues bool
	// refusedBy are the engines that refused the request, and thus do not run it.
	refusedBy []string
	// full says that the engines of the version that is selected for a new stream are full while others have room.
	full bool
}

// resumed reports whether the client takes up a stream of which it has a part.
func (f *inflight) resumed() bool { return f.route.Stream() && f.request.LastEventID() > 0 }

// foundVersionFull reports whether the request begins a stream whose version is full.
func (f *inflight) foundVersionFull() bool { return f.versionWait.full && !f.continues() }

// versionWaitTime returns how long the request waits for the engines of its version.
func (f *inflight) versionWaitTime() kumquatlug.Millis {
	if f.continues() {
		return min(maxVersionWait, f.timeToStartOutput())
	}
	return min(maxNewVersionWait, f.timeToStartOutput()/retryAfterDivisor)
}

// awaitVersion waits until an engine of the version that began the stream, or at which it has to begin, may accept it
// again. Any other new stream goes to any other engine while one is full or backs off, this one may not. Engines that
// refused it may be tried again. limitDelay is how long the rate limits of engines delay it at least. It
// returns false if none will accept it in time: the version has no ready engine that decodes, or the wait
// is over.
func (f *inflight) awaitVersion(ctx context.Context, limitDelay kumquatlug.Millis) bool {
	if !f.service.Engine() || !f.continues() && !f.foundVersionFull() || f.takeover != nil {
		return false
	}
	now := f.g.c.Clock.Now()
	if w := &f.versionWait; w.until == 0 || w.continues != f.continues() {
		w.until, w.continues = now+f.versionWaitTime(), f.continues()
	}
	interval := versionWaitInterval
	if !f.continues() {
		interval = newVersionWaitInterval
	}
	for now < f.versionWait.until && !f.g.shuttingDown() {
		q := f.placementQuery()
		q.Exclude = slices.DeleteFunc(slices.Clone(f.exclude), func(id string) bool { return slices.Contains(f.versionWait.refusedBy, id) })
		delay, found := f.g.scheduler.outputDelay(now, f.service.Name(), q)
		delay = max(delay, limitDelay)
		if !found || now+delay >= f.versionWait.until || !sleep(ctx, max(delay, interval)) {
			return false
		}
		now = f.g.c.Clock.Now()
		if f.g.scheduler.acceptsOutput(now, f.service.Name(), q) {
			f.exclude = q.Exclude
			return true
		}
	}
	return false
}

// waitsForVersion reports whether a prompt with this submission may wait for an engine of the version of
// its stream. Of those that wait for the same engine, the ones that find no slot free wait on.
func (f *inflight) waitsForVersion(s placement.Submission) bool {
	return s == placement.SubmissionNoEngine || s == placement.SubmissionRefused && f.versionWait.until > 0
}

// Reasons of streams whose version is known and that can't go on now, besides reasonVersionGone.
const (
	// reasonVersionBusy: the engines of the version that decode are full, or fail.
	reasonVersionBusy = "version_busy"
	// reasonVersionPrefills: all ready engines of the version run prefill only.
	reasonVersionPrefills = "version_prefills"
	// reasonVersionFull: the engines of the version at which a new stream has to begin are full, others are not.
	reasonVersionFull = "version_full"
)

// versionBusyRetryAfter is the Retry-After where the engines of the version are full: they have refused
// requests for as long as this one has waited.
const versionBusyRetryAfter = 400 * kumquatlug.Millis(1)

// versionRefusal returns why a stream can't go on at its version, and when its client should try again.
// All gateways know the same engines, so that there is no use in trying another one at once, except where
// this one stops: a neighbour waits for a full engine of the version, this one does not. A role
// change takes three seconds and a restart of the last engine longer; clients try a few times only, so
// that they get the longest delay then.
func (f *inflight) versionRefusal() (reason string, retryAfter kumquatlug.Millis) {
	if delay, found := f.g.scheduler.outputDelay(f.g.c.Clock.Now(), f.service.Name(), placement.Query{Version: f.version}); found {
		if f.g.shuttingDown() && !f.g.aloneInZone() {
			return reasonVersionBusy, shutdownRetryAfter
		}
		return reasonVersionBusy, f.retryAfter(max(delay, versionBusyRetryAfter))
	}
	for _, m := range f.g.members.Load().byService[f.service.Name()] {
		if m.State == kumquatlug.MemberReady && m.Worker.Version() == f.version {
			return reasonVersionPrefills, f.retryAfter(maxRetryAfter)
		}
	}
	return reasonVersionGone, f.retryAfter(maxRetryAfter)
}

// versionFullFailure returns the failure of a new stream whose version is full. Its client's retry has another id, so that
// a version is selected anew, which moves the load to versions with room.
func (f *inflight) versionFullFailure() *attemptFailure {
	return &attemptFailure{permanent: true, failure: refusal("place", reasonVersionFull, http.StatusServiceUnavailable, f.retryAfter(minRetryAfter))}
}

// outputDelay returns how long the engines of a service that decode back off at least, and whether
// there are any that may get a request.
func (sc *scheduler) outputDelay(now kumquatlug.Millis, service string, q placement.Query) (kumquatlug.Millis, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.OutputDelay(now, q)
}

// acceptsOutput reports whether an engine of a service accepts a request to decode.
func (sc *scheduler) acceptsOutput(now kumquatlug.Millis, service string, q placement.Query) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.AcceptsOutput(now, q)
}
