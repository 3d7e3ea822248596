package gateway

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peerrequest"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// versionRetryAfter is the Retry-After of a stream that can't go on here: another gateway may know its
// version.
const versionRetryAfter = 20 * kumquatlug.Millis(1)

// Reasons of streams that can't go on.
const (
	reasonVersionUnknown = "version_unknown"
	reasonVersionGone    = "version_gone"
	// reasonVersionUnlisted: neither the store nor peers tell at which version new streams begin.
	reasonVersionUnlisted = "version_unlisted"
	// reasonVersionBound: only workers of another version than the selected one may run the request.
	reasonVersionBound = "version_bound"
)

// continues reports whether an attempt continues a stream of which the client has a part.
func (f *inflight) continues() bool {
	return f.route.Stream() && (f.lastEventID > 0 || f.responseStarted)
}

// mayBeTakenUp reports whether the client may take the stream up at another gateway.
func (f *inflight) mayBeTakenUp() bool { return f.route.Stream() && f.route.Repeatable() }

// namesStream reports whether the request says which attempt began the stream that it takes up. A peer hands a
// stream off only if it does.
func (f *inflight) namesStream() bool { return f.handoff != nil || f.request.NamesStream() }

// selectedVersion returns the version at which the response begins, empty for any.
func (f *inflight) selectedVersion() string {
	if !f.mayBeTakenUp() {
		return ""
	}
	if f.version != "" {
		return f.version
	}
	return f.g.streamVersions.selectVersion(f.service.Name(), f.request.StreamID())
}

// otherVersion reports whether a stream that found no worker of its version, or one that is too late, may begin at
// another one now.
func (f *inflight) otherVersion(ctx context.Context, q placement.Query) bool {
	f.versionWait.full = false
	if f.continues() || f.soleVersion != "" || !f.mayBeTakenUp() || q.Version == "" {
		return false
	}
	if q.Version != f.selectedVersion() {
		return true
	}
	version := q.Version
	if !f.g.streamVersions.hasOther(f.service.Name(), version) {
		return false
	}
	q.Version = ""
	if c, found := f.g.scheduler.findChoice(f.g.c.Clock.Now(), f.service, q); !found || c.Wait() >= f.timeToStartOutput() {
		return false
	}
	selected, other, full := f.g.streamVersions.noWorker(ctx, f.service, f.request.StreamID(), version)
	f.versionWait.full = full
	if other {
		f.version = selected
	}
	return other
}

// bindSoleVersion ensures that a stream may begin at the only version whose workers may run it. It returns a
// failure if another one is selected for the stream and the store can't tell the other gateways.
func (f *inflight) bindSoleVersion(ctx context.Context) *attemptFailure {
	version := f.selectedVersion()
	if f.soleVersion == "" || version == "" || version == f.soleVersion {
		return nil
	}
	if unbound, _ := f.g.streamVersions.unbind(ctx, unbindRequest{service: f.service.Name(), version: version, id: f.request.StreamID(), alone: true}); unbound {
		return nil
	}
	return &attemptFailure{permanent: true, failure: refusal("find version", reasonVersionBound, http.StatusServiceUnavailable, 0)}
}

// resolveVersion determines the version at which a stream begins or may go on. It returns a failure if a
// stream goes on and its version is unknown.
func (f *inflight) resolveVersion(ctx context.Context) *attemptFailure {
	if !f.continues() {
		if f.mayBeTakenUp() {
			version, mayBegin := f.g.streamVersions.prepare(ctx, f.service.Name(), f.request.StreamID())
			if !mayBegin {
				return &attemptFailure{permanent: true, failure: refusal("find version", reasonVersionUnlisted, http.StatusServiceUnavailable, f.retryAfter(listingTimeout))}
			}
			f.version = version
			return f.bindSoleVersion(ctx)
		}
		return nil
	}
	if f.version != "" {
		return nil
	}
	r := f.g.streamVersions.resolve(ctx, f.service.Name(), f.request.StreamID(), f.namesStream())
	f.version = r.version
	reason := streamversion.ReasonNone
	if r.version == "" {
		reason = r.evidence.UnknownReason(f.namesStream())
	}
	f.logResume(r, reason)
	if f.version != "" {
		f.g.metrics.resumes.WithLabelValues("known").Inc()
		return nil
	}
	f.g.metrics.resumes.WithLabelValues("unknown").Inc()
	return &attemptFailure{permanent: true, failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "find version", Reason: reasonVersionUnknown, Execution: kumquatlug.NotExecuted, Status: http.StatusServiceUnavailable,
		RetryAfter: versionRetryAfter, Cause: errors.Newf("undetermined: %s", reason),
	})}
}

// logResume logs how the version of the stream was looked up, why it is unknown, and which workers have it.
func (f *inflight) logResume(r resolution, reason streamversion.Reason) {
	workers, generating := 0, 0
	for _, m := range f.g.members.Load().byService[f.service.Name()] {
		if m.State != kumquatlug.MemberReady || m.Worker.Version() != r.version {
			continue
		}
		workers++
		if m.Role != kumquatlug.RolePrefill {
			generating++
		}
	}
	f.g.c.Logger.Info("stream taken up", zap.String("request", f.request.ID()), zap.String("resumes", f.request.StreamID()),
		zap.String("service", f.service.Name()), zap.Int64("after", f.lastEventID), zap.String("version", r.version),
		zap.String("source", string(r.source)), zap.String("unknown", string(reason)), zap.Bool("read", r.evidence.Read), zap.String("determined", r.evidence.Determined),
		zap.Strings("listed", r.listed), zap.Int64("epoch", int64(r.epoch)), zap.Int("asked", r.evidence.Asked), zap.Int("answered", r.evidence.Answered),
		zap.Bool("conflicting", r.evidence.Conflicting), zap.Int("knowing", r.evidence.Knowing), zap.Int("silent_owners", r.evidence.SilentOwners),
		zap.Int("workers", workers), zap.Int("generating", generating))
}

// beginOutput records the version of the worker that begins the response.
func (f *inflight) beginOutput(w kumquatlug.Worker) {
	if !f.continues() {
		f.version = w.Version()
	}
	if out, ok := f.w.(*peerrequest.ResponseWriter); ok {
		out.SetVersion(f.version)
	}
	f.g.streamVersions.begin(f)
}
