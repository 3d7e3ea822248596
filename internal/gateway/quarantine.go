package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// Parameters of the quarantine.
const (
	reasonQuarantined = "quarantined"
	// minQuarantineRetryAfter and maxQuarantineRetryAfter bound the Retry-After of a request under
	// quarantine. It is the time until the next probe: earlier the request is refused again.
	minQuarantineRetryAfter = 1 * kumquatlug.Second
	maxQuarantineRetryAfter = 60 * kumquatlug.Second
	// probeClaimTimeout bounds the claim of a probe.
	probeClaimTimeout = 400 * kumquatlug.Millis(1)
	// clearanceSpread is the time over which the clearances of the same suspect by several gateways
	// are spread, so that the first one makes the others unnecessary. clearanceSpreadPerGateway is
	// added for each gateway.
	clearanceSpread           = 20 * kumquatlug.Millis(1)
	clearanceSpreadPerGateway = 0.1
	// reportRepeatDelay is when a report is sent again: a gateway that has missed one datagram would
	// decide by less than the others.
	reportRepeatDelay = 40 * kumquatlug.Millis(1)
	// announceSpan is how long after a change the entries are announced to announcedPeers in each
	// round; later to one.
	announceSpan   = 10 * kumquatlug.Second
	announcedPeers = 8
	// maxAnnouncedEntries bounds the entries in one announcement, which are drawn at random: with
	// many, each announcement would take more than a gateway may spend on control messages.
	maxAnnouncedEntries = 8
)

// quarantinePeers is the state of the exchange with other gateways.
type quarantinePeers struct {
	names map[string]bool
	// clearances are those to be sent, with the time at which they are due.
	clearances map[clearance]kumquatlug.Millis
	// repeats are the reports to be sent again.
	repeats []repeatedReports
	// changedAt is when an entry last changed.
	changedAt kumquatlug.Millis
}

// repeatedReports are reports to be sent again.
type repeatedReports struct {
	reports []kumquatlug.CrashReport
	due     kumquatlug.Millis
}

// clearance is one identity that was answered in full.
type clearance struct{ service, version, identity string }

func newQuarantinePeers() quarantinePeers {
	return quarantinePeers{names: map[string]bool{}, clearances: map[clearance]kumquatlug.Millis{}}
}

// identities returns the identities of the request.
func (f *inflight) identities() []string {
	f.identityMu.Lock()
	defer f.identityMu.Unlock()
	if f.ownIdentities == nil {
		f.ownIdentities = identities(f.service.Name(), f.request)
	}
	return f.ownIdentities
}

// assessQuarantine returns whether the request is under quarantine.
func (f *inflight) assessQuarantine() quarantine.RequestAssessment {
	c := f.g.crashes
	if c.noneKnown(f.service.Name()) {
		return quarantine.RequestAssessment{}
	}
	own := f.identities()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.Check(f.g.c.Clock.Now(), f.service.Name(), own)
}

// noneKnown reports whether no crash is known of a service.
func (c *crashes) noneKnown(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.Empty(service)
}

// refuseQuarantined refuses a request under quarantine. It returns false if the request may be served.
func (f *inflight) refuseQuarantined(ctx context.Context) bool {
	refused, fields := f.admitToQuarantine(ctx)
	if refused == nil {
		return false
	}
	f.g.refuse(f.w, f.request, refused, fields...)
	return true
}

// admitToQuarantine decides about a request under quarantine before it is served: it is refused, unless
// workers of another version serve it or it is the next probe.
func (f *inflight) admitToQuarantine(ctx context.Context) (*kumquatlug.Failure, []zap.Field) {
	a := f.assessQuarantine()
	if !a.Refused() {
		return nil, nil
	}
	if served := f.servedVersion(a.Entry()); served != "" {
		f.soleVersion = served
		return nil, nil
	}
	if version, due := a.Probe(); due && f.claimProbe(ctx, a.Entry(), version) {
		f.probe, f.soleVersion = true, version
		return nil, nil
	}
	return quarantineRefusal(a), quarantineFields(a.Entry())
}

// servedVersion returns a version at which an entry is not in force and of which there are workers.
func (f *inflight) servedVersion(q kumquatlug.QuarantineEntry) string {
	for _, m := range f.g.members.Load().byService[f.service.Name()] {
		if slices.Contains(q.Served, m.Worker.Version()) {
			return m.Worker.Version()
		}
	}
	return ""
}

func quarantineRefusal(a quarantine.RequestAssessment) *kumquatlug.Failure {
	retryAfter := maxQuarantineRetryAfter
	if next := a.NextProbe(); next > 0 {
		retryAfter = min(max(next, minQuarantineRetryAfter), retryAfter)
	}
	return refusal("quarantine", reasonQuarantined, http.StatusServiceUnavailable, retryAfter)
}

// quarantineFields returns the log fields of a refusal by an entry.
func quarantineFields(q kumquatlug.QuarantineEntry) []zap.Field {
	return []zap.Field{
		zap.String("quarantine", quarantine.EntryKey(q)), zap.Strings("identities", q.Identities), zap.Strings("crashes", q.Crashes),
	}
}

// admitSend takes the last decisions before an attempt is sent to a worker.
func (f *inflight) admitSend(ctx context.Context, s stage, c placement.Choice, a *placement.Attempt) *attemptFailure {
	if denied := f.reauthenticate(s, a); denied != nil {
		return denied
	}
	if failed := f.refuseBeforeExit(s, a); failed != nil {
		return failed
	}
	if failed := f.awaitQuarantine(ctx, s, c, a); failed != nil {
		return failed
	}
	f.g.crashes.attemptSent(f, a, c.Worker())
	return nil
}

// awaitQuarantine refuses an attempt that waited, was queued, prefilled or handed off while its request came
// under quarantine. It waits for a decision that is due.
func (f *inflight) awaitQuarantine(ctx context.Context, s stage, choice placement.Choice, a *placement.Attempt) *attemptFailure {
	q := f.assessQuarantine()
	for ; q.Wait() > 0; q = f.assessQuarantine() {
		if !sleep(ctx, q.Wait()) {
			f.endAttempt(s, a, placement.OutcomeNeutral)
			return &attemptFailure{permanent: true, failure: refusal("quarantine", reasonClientLeft, http.StatusServiceUnavailable, 0)}
		}
	}
	if !f.quarantinedAt(q, choice) {
		return nil
	}
	f.endAttempt(s, a, placement.OutcomeNeutral)
	f.g.c.Logger.Info("attempt under quarantine", append(quarantineFields(q.Entry()), zap.String("request", f.request.ID()), zap.String("worker", choice.Worker().ID()))...)
	return &attemptFailure{permanent: true, failure: quarantineRefusal(q)}
}

// quarantinedAt reports whether the request is under quarantine at a worker. A worker may prefill for one of
// another version, at which it is not.
func (f *inflight) quarantinedAt(q quarantine.RequestAssessment, choice placement.Choice) bool {
	if !q.Refused() || f.probe {
		return false
	}
	version := choice.Worker().Version()
	if choice.PrefillOnly() && f.soleVersion != "" {
		version = f.soleVersion
	}
	return !slices.Contains(q.Entry().Served, version)
}

// claimProbe claims the next probe of an entry, so that one in the fleet is sent.
func (f *inflight) claimProbe(ctx context.Context, q kumquatlug.QuarantineEntry, version string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeClaimTimeout.Duration())
	defer cancel()
	claimed := quarantine.WithProbe(q, version)
	won := false
	err := f.g.tryUpdateRow(ctx, quarantine.EntryRowKey(q), func(row kumquatlug.Row, _ kumquatlug.Millis) ([]byte, error) {
		if won = false; row.Exists() {
			stored, err := quarantine.DecodeEntryRow(row.Value())
			if err != nil || stored.Revision != q.Revision || stored.Released {
				return nil, err
			}
		}
		won = true
		return quarantine.EncodeEntryRow(claimed), nil
	})
	if err != nil || !won {
		f.g.c.Logger.Info("probe not claimed", append(quarantineFields(q), logs.Error(err))...)
		return false
	}
	f.g.c.Logger.Warn("probe of a quarantine", append(quarantineFields(claimed), zap.String("request", f.request.ID()), zap.Int("probes", claimed.Probes))...)
	c := f.g.crashes
	c.mu.Lock()
	c.evidence.Receive(f.g.c.Clock.Now(), kumquatlug.QuarantineMessage{Entries: []kumquatlug.QuarantineEntry{claimed}})
	c.mu.Unlock()
	c.broadcast(kumquatlug.QuarantineMessage{Entries: []kumquatlug.QuarantineEntry{claimed}})
	c.flush()
	return true
}

// QuarantineReceived handles a message of a peer about crashes of workers.
func (g *Gateway) QuarantineReceived(_ string, m kumquatlug.QuarantineMessage) {
	c := g.crashes
	c.mu.Lock()
	for _, cleared := range m.Clearances {
		for _, id := range cleared.Identities {
			delete(c.clearances, clearance{cleared.Service, cleared.Version, id})
		}
	}
	c.evidence.Receive(g.c.Clock.Now(), m)
	c.mu.Unlock()
	c.workersCrashed(m.Reports)
	c.flush()
}

// tick takes the decisions that are due and sends the clearances that are.
func (c *crashes) tick(now kumquatlug.Millis) {
	c.applyCrashed(now)
	c.mu.Lock()
	c.evidence.Tick(now)
	due := map[[2]string][]string{}
	for k, at := range c.clearances {
		if now >= at {
			delete(c.clearances, k)
			due[[2]string{k.service, k.version}] = append(due[[2]string{k.service, k.version}], k.identity)
		}
	}
	var m kumquatlug.QuarantineMessage
	for len(c.repeats) > 0 && now >= c.repeats[0].due {
		m.Reports = append(m.Reports, c.repeats[0].reports...)
		c.repeats = c.repeats[1:]
	}
	c.mu.Unlock()
	for at, ids := range due {
		m.Clearances = append(m.Clearances, kumquatlug.CrashClearance{Service: at[0], Version: at[1], Identities: ids})
	}
	c.broadcast(m)
	c.flush()
}

// flush logs what was decided, and tells the other gateways and the store.
func (c *crashes) flush() {
	now := c.g.c.Clock.Now()
	c.mu.Lock()
	m, events := c.evidence.Outbox(), c.evidence.Events()
	for _, cleared := range m.Clearances {
		for _, id := range cleared.Identities {
			spread := float64(clearanceSpread) + clearanceSpreadPerGateway*float64(len(c.names))
			c.clearances[clearance{cleared.Service, cleared.Version, id}] = now + kumquatlug.Millis(rand.Float64()*spread)
		}
	}
	m.Clearances = nil
	// Every gateway takes the same decision from the same reports. Those that saw a crash tell it.
	m.Entries = slices.DeleteFunc(m.Entries, func(q kumquatlug.QuarantineEntry) bool { return !c.announces(q) })
	m.Reports = append(m.Reports, c.unsent...)
	if len(c.unsent) > 0 {
		c.repeats = append(c.repeats, repeatedReports{reports: c.unsent, due: now + reportRepeatDelay})
		c.unsent = nil
	}
	for _, e := range events {
		c.changedAt = now
		c.recordChange(now, e)
	}
	c.mu.Unlock()
	c.broadcast(m)
	for _, e := range events {
		c.g.metrics.quarantineEvents.WithLabelValues(string(e.Kind())).Inc()
		q := e.Entry()
		c.g.c.Logger.Warn("quarantine", append(quarantineFields(q), zap.String("event", string(e.Kind())), zap.Bool("own", e.Own()), zap.String("service", q.Service),
			zap.Strings("versions", q.Versions), zap.Strings("served", q.Served), zap.Int("probes", q.Probes), zap.Int64("revision", q.Revision))...)
	}
}

// announces reports whether this gateway tells the others of a change that it decided: it has served the
// request that ends an entry, or has seen a crash behind a new one. The caller must hold c.mu.
func (c *crashes) announces(q kumquatlug.QuarantineEntry) bool {
	return q.Released || len(q.Served) > 0 || slices.ContainsFunc(q.Identities, func(id string) bool { return c.reported[q.Service+"\x00"+id] })
}

// broadcast sends a message to all other gateways.
func (c *crashes) broadcast(m kumquatlug.QuarantineMessage) {
	if c.g.c.Peers == nil || m.Empty() {
		return
	}
	for _, name := range c.peerNames() {
		c.g.c.Peers.SendQuarantine(name, m)
	}
}

func (c *crashes) peerNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.names))
	for name := range c.names {
		names = append(names, name)
	}
	return names
}

// setPeers sets the names of the reachable gateways. New and restarted ones are told the entries.
func (c *crashes) setPeers(reachable, restarted []string) {
	c.mu.Lock()
	clear(c.names)
	for _, name := range reachable {
		if name != c.g.c.Name {
			c.names[name] = true
		}
	}
	c.mu.Unlock()
	for _, name := range restarted {
		c.sendEntries(name)
	}
}

func (c *crashes) peerJoined(name string) {
	c.mu.Lock()
	c.names[name] = true
	c.mu.Unlock()
	c.sendEntries(name)
}

// setMembers applies the versions of the workers of all services.
func (c *crashes) setMembers(byService map[string][]kumquatlug.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, members := range byService {
		if c.evidence.Empty(service) {
			continue
		}
		var versions []string
		for _, m := range members {
			if v := m.Worker.Version(); v != "" && m.State != kumquatlug.MemberDraining && !slices.Contains(versions, v) {
				versions = append(versions, v)
			}
		}
		c.evidence.SetVersions(service, versions)
	}
}

// sendEntries tells a gateway what is under quarantine.
func (c *crashes) sendEntries(name string) {
	c.mu.Lock()
	m := kumquatlug.QuarantineMessage{Entries: c.evidence.Entries()}
	c.mu.Unlock()
	if !m.Empty() {
		c.g.c.Peers.SendQuarantine(name, m)
	}
}

// announceEntries repeats the entries to some gateways: a datagram may have been lost.
func (c *crashes) announceEntries(now kumquatlug.Millis) {
	if c.g.c.Peers == nil {
		return
	}
	c.mu.Lock()
	entries, count := c.evidence.Entries(), 1
	if now-c.changedAt < announceSpan {
		count = announcedPeers
	}
	c.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	names := c.peerNames()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	m := kumquatlug.QuarantineMessage{Entries: entries[:min(len(entries), maxAnnouncedEntries)]}
	for _, name := range names[:min(len(names), count)] {
		c.g.c.Peers.SendQuarantine(name, m)
	}
}
