package gateway

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peerrequest"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// versionRetryAfter is the Retry-After of a stream that can't go on here: another gateway may know its
// version.
const versionRetryAfter = 20 * kumquatlug.Millis(1)

// Reasons of streams that can't go on.
const (
	reasonVersionUnknown = "version_unknown"
	reasonVersionGone    = "version_gone"
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

// otherVersion reports whether a stream that found no worker of its version may begin at another one now.
func (f *inflight) otherVersion(ctx context.Context, q placement.Query) bool {
	if f.continues() || f.soleVersion != "" || !f.mayBeTakenUp() || q.Version == "" || q.Version != f.selectedVersion() {
		return false
	}
	q.Exclude = nil
	if c, found := f.g.scheduler.findChoice(f.g.c.Clock.Now(), f.service, q); found || c.Delay() > 0 {
		// Only this request can't be sent there, or only now.
		return false
	}
	return f.g.streamVersions.noWorker(ctx, f.service.Name(), f.request.StreamID(), q.Version)
}

// resolveVersion determines the version at which a stream begins or may go on. It returns a failure if a
// stream goes on and its version is unknown.
func (f *inflight) resolveVersion(ctx context.Context) *attemptFailure {
	if !f.continues() {
		if f.mayBeTakenUp() {
			f.version = f.g.streamVersions.prepare(ctx, f.service.Name(), f.request.StreamID())
		}
		return nil
	}
	if f.version != "" {
		return nil
	}
	r := f.g.streamVersions.resolve(ctx, f.service.Name(), f.request.StreamID(), f.namesStream())
	f.version = r.version
	f.logResume(r)
	if f.version != "" {
		f.g.metrics.resumes.WithLabelValues("known").Inc()
		return nil
	}
	f.g.metrics.resumes.WithLabelValues("unknown").Inc()
	return &attemptFailure{permanent: true, failure: refusal("find version", reasonVersionUnknown, http.StatusServiceUnavailable, versionRetryAfter)}
}

// logResume logs how the version of the stream was looked up, and which workers have it.
func (f *inflight) logResume(r resolution) {
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
		zap.String("source", string(r.source)), zap.Bool("read", r.evidence.Read), zap.String("determined", r.evidence.Determined),
		zap.Strings("listed", r.listed), zap.Int64("epoch", int64(r.epoch)), zap.Int("asked", r.evidence.Asked), zap.Int("answered", r.evidence.Answered),
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
