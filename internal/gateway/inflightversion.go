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

// resolveVersion determines the version at which a stream may go on. It returns a failure if the version
// is unknown.
func (f *inflight) resolveVersion(ctx context.Context) *attemptFailure {
	if f.version != "" || !f.continues() {
		return nil
	}
	r := f.g.streamVersions.resolve(ctx, f.service.Name(), f.request.StreamID())
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
		zap.String("source", string(r.source)), zap.Int("peers", r.peers), zap.Strings("listed", r.listed),
		zap.Int("workers", workers), zap.Int("generating", generating))
}

// listVersion ensures that the version of the chosen worker is listed before a stream begins there that
// may be resumed. If it can't be, another worker is chosen, unless no version is known to be listed.
func (f *inflight) listVersion(ctx context.Context, c placement.Choice, a *placement.Attempt) *attemptFailure {
	if !f.route.Stream() || !f.route.Repeatable() || f.continues() {
		return nil
	}
	v, service, version := f.g.streamVersions, f.service.Name(), c.Worker().Version()
	if v.list(ctx, service, version) || !v.knowsListed(service) {
		return nil
	}
	f.endAttempt(stageOutput, a, placement.OutcomeNeutral)
	return &attemptFailure{worker: c.Worker().ID(), failure: refusal("list version", "version_unlisted", http.StatusServiceUnavailable, 0)}
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
