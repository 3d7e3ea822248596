package gateway

import (
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// Parameters of recognizing crashes.
const (
	// startingSpan is how long after its first output a request may still have caused a crash: an
	// engine may send an event before it ends.
	startingSpan = 50 * kumquatlug.Millis(1)
	// lifeTimeout bounds one question whether a worker runs. lifeTries is how often an unreachable
	// worker is asked, lifeRetryDelay the delay before the second question, which doubles.
	lifeTimeout    = 250 * kumquatlug.Millis(1)
	lifeTries      = 5
	lifeRetryDelay = 60 * kumquatlug.Millis(1)
	// lifeInterval is the time between two questions to a worker that runs and breaks responses off.
	// It doubles up to maxLifeInterval.
	lifeInterval    = 500 * kumquatlug.Millis(1)
	maxLifeInterval = 2 * kumquatlug.Second
	// crashGatherTime is how long the responses that a crash breaks off are gathered.
	crashGatherTime = 10 * kumquatlug.Millis(1)
	// maxBrokenAttempts bounds the broken attempts kept per worker.
	maxBrokenAttempts = 256
	// membersDelay is how long crashes are gathered before the members are applied again.
	membersDelay = 40 * kumquatlug.Millis(1)
	// suspicionRetention is how long a broken response of a worker is remembered.
	suspicionRetention = 60 * kumquatlug.Second
)

// crashes knows what was in flight at workers that crashed, and what is under quarantine for it.
type crashes struct {
	g *Gateway

	mu       sync.Mutex
	evidence *quarantine.Evidence
	// sent are the attempts that a worker may have received.
	sent map[*placement.Attempt]*sentAttempt
	// suspicions are the workers that broke off responses, by ID.
	suspicions map[string]*suspicion
	// membersDue is when the members are applied without the workers that crashed, zero for not.
	membersDue kumquatlug.Millis
	quarantinePeers
	quarantineRows
}

// sentAttempt is an attempt that a worker may have received.
type sentAttempt struct {
	request kumquatlug.Request
	service string
	worker  kumquatlug.Worker
	// identities returns the identities of the request.
	identities func() []string
	// informed are the identities of which a crash was known when the attempt was sent.
	informed map[string]bool
	// firstOutputAt is when the first output arrived, zero before.
	firstOutputAt kumquatlug.Millis
	// answered says that the output was long enough to clear the request.
	answered bool
}

// suspicion is a worker that broke off responses and may have crashed.
type suspicion struct {
	member kumquatlug.Member
	// broken are the attempts that may have caused it, since the worker was last known to run.
	broken []*sentAttempt
	// checking says that a goroutine finds out whether the worker runs, ended that it does not.
	checking, ended bool
	// interval is the time between two questions, nextAt that of the next one.
	interval, nextAt kumquatlug.Millis
	lastAt           kumquatlug.Millis
}

func newCrashes(g *Gateway) *crashes {
	return &crashes{
		g: g, evidence: quarantine.NewEvidence(quarantine.EvidenceConfig{}),
		sent: map[*placement.Attempt]*sentAttempt{}, suspicions: map[string]*suspicion{},
		quarantinePeers: newQuarantinePeers(), quarantineRows: newQuarantineRows(),
	}
}

// identities returns what a crash under a request may be attributed to: the shared parts of its prompt,
// and the request itself.
func identities(service string, request kumquatlug.Request) []string {
	shared := request.Prompt().SharedIDs()
	all := make([]string, 0, len(shared)+1)
	seen := make(map[string]bool, len(shared))
	for _, id := range shared {
		if !seen[id] {
			seen[id] = true
			all = append(all, quarantine.PartIdentity(id))
		}
	}
	kind := kumquatlug.NewKind(kumquatlug.ProtocolService, service)
	return append(all, quarantine.RequestIdentity(quarantine.NewFingerprint(request.Target(), kind, request.Body().Parts()...)))
}

// requestHash distinguishes requests, whatever the client's attempt.
func requestHash(request kumquatlug.Request) uint32 {
	h := xxhash.New()
	// Writes to a hash don't fail.
	_, _ = h.WriteString(request.Target())
	_, _ = request.Body().WriteTo(h)
	for _, part := range request.Prompt().Parts() {
		_, _ = h.WriteString("\x00" + part.ID())
	}
	return uint32(h.Sum64())
}

// attemptSent records that an attempt is sent.
func (c *crashes) attemptSent(f *inflight, a *placement.Attempt, worker kumquatlug.Worker) {
	s := &sentAttempt{request: f.request, service: f.service.Name(), worker: worker, identities: f.identities}
	var own []string
	if !c.noneKnown(s.service) {
		own = f.identities()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.informed = c.evidence.Informed(s.service, own)
	c.sent[a] = s
}

// outputArrived records that output of an attempt has arrived.
func (c *crashes) outputArrived(a *placement.Attempt) {
	now := c.g.c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sent[a]
	switch {
	case s == nil:
	case s.firstOutputAt == 0:
		s.firstOutputAt = now
	case !s.answered && now-s.firstOutputAt >= longOutput:
		c.answered(now, s)
	}
}

// longOutput is how long an engine must have generated output to show that the request does not
// crash it.
const longOutput = 1 * kumquatlug.Second

// answered clears the identities of a request. The caller must hold c.mu.
func (c *crashes) answered(now kumquatlug.Millis, s *sentAttempt) {
	s.answered = true
	if !c.evidence.Empty(s.service) {
		c.evidence.Completed(now, s.service, s.worker.Version(), s.identities())
	}
}

// attemptEnded records the end of an attempt, and whether it was served in full.
func (c *crashes) attemptEnded(a *placement.Attempt, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sent[a]
	if s == nil {
		return
	}
	delete(c.sent, a)
	if served && s.firstOutputAt != 0 && !s.answered {
		c.answered(c.g.c.Clock.Now(), s)
	}
}

// attemptBroken records that a worker broke off an attempt.
func (c *crashes) attemptBroken(a *placement.Attempt) {
	now := c.g.c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sent[a]
	if s == nil || s.firstOutputAt != 0 && now-s.firstOutputAt > startingSpan {
		return
	}
	w := c.suspicions[s.worker.ID()]
	member, found := c.g.member(s.service, s.worker.ID())
	if w == nil || found && member.StartedAt != w.member.StartedAt {
		if !found || member.State == kumquatlug.MemberDraining {
			// A worker that shuts down ends what it has not completed.
			return
		}
		w = &suspicion{member: member, interval: lifeInterval}
		c.suspicions[s.worker.ID()] = w
	}
	w.lastAt = now
	if len(w.broken) < maxBrokenAttempts {
		w.broken = append(w.broken, s)
	}
	if !w.checking {
		w.checking = true
		go c.checkLife(w)
	}
}

// member returns a worker of a service by its ID.
func (g *Gateway) member(service, id string) (kumquatlug.Member, bool) {
	members := g.members.Load().byService[service]
	if i := slices.IndexFunc(members, func(m kumquatlug.Member) bool { return m.Worker.ID() == id }); i >= 0 {
		return members[i], true
	}
	return kumquatlug.Member{}, false
}

// checkLife finds out whether a worker that broke off responses has crashed. A link that is cut, a
// response that is lost and a worker that resets connections all leave it running.
func (c *crashes) checkLife(w *suspicion) {
	life := kumquatlug.WorkerUnknown
	c.mu.Lock()
	ended, wait := w.ended, w.nextAt-c.g.c.Clock.Now()
	c.mu.Unlock()
	if ended {
		life = kumquatlug.WorkerEnded
	}
	ctx := context.Background()
	delay := lifeRetryDelay
	for try := 0; try < lifeTries && life == kumquatlug.WorkerUnknown; try++ {
		sleep(ctx, max(wait, 0))
		life = c.askLife(ctx, w.member)
		wait = delay
		delay *= 2
	}
	if life == kumquatlug.WorkerEnded {
		sleep(ctx, crashGatherTime)
	}
	now := c.g.c.Clock.Now()
	c.mu.Lock()
	broken := w.broken
	w.broken, w.checking, w.ended = nil, false, life == kumquatlug.WorkerEnded
	w.nextAt = now + w.interval
	w.interval = min(2*w.interval, maxLifeInterval)
	c.mu.Unlock()
	c.g.metrics.crashChecks.WithLabelValues(string(life)).Inc()
	if life != kumquatlug.WorkerEnded {
		return
	}
	report := crashReport(w.member, broken)
	c.logCrash(w.member, broken, report)
	c.workersCrashed([]kumquatlug.CrashReport{report})
	c.mu.Lock()
	c.evidence.Report(now, report)
	c.addReport(report)
	c.mu.Unlock()
	c.flush()
}

// workersCrashed stops sending to workers that crashed, whose rows stay for some seconds. Many may crash at
// once: the members are applied again after membersDelay.
func (c *crashes) workersCrashed(reports []kumquatlug.CrashReport) {
	now, changed := c.g.c.Clock.Now(), false
	for _, r := range reports {
		_, present := c.g.member(r.Service, r.Worker)
		changed = present && c.g.shuttingDownWorkers.noteCrash(now, r.Worker, r.StartedAt) || changed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if changed && c.membersDue == 0 {
		c.membersDue = now + membersDelay
	}
}

// applyCrashed applies the members again if workers have crashed.
func (c *crashes) applyCrashed(now kumquatlug.Millis) {
	c.mu.Lock()
	due := c.membersDue != 0 && now >= c.membersDue
	if due {
		c.membersDue = 0
	}
	c.mu.Unlock()
	if due {
		c.g.republish()
	}
}

// askLife asks once whether a worker runs.
func (c *crashes) askLife(ctx context.Context, m kumquatlug.Member) kumquatlug.WorkerLife {
	ctx, cancel := context.WithTimeout(ctx, lifeTimeout.Duration())
	defer cancel()
	healthPath := ""
	if m.Role == "" {
		table := c.g.table.Load()
		if table == nil {
			return kumquatlug.WorkerUnknown
		}
		service, _ := table.Service(m.Service)
		if healthPath = service.HealthPath(); healthPath == "" {
			return kumquatlug.WorkerUnknown
		}
	}
	return c.g.c.Workers.Life(ctx, m.Worker, healthPath, m.StartedAt)
}

// crashReport returns the report of a crash under these attempts.
func crashReport(m kumquatlug.Member, broken []*sentAttempt) kumquatlug.CrashReport {
	r := kumquatlug.CrashReport{Service: m.Service, Worker: m.Worker.ID(), StartedAt: m.StartedAt, Version: m.Worker.Version()}
	index := map[string]int{}
	for _, s := range broken {
		hash := requestHash(s.request)
		for _, id := range s.identities() {
			i, known := index[id]
			if !known {
				i = len(r.Suspects)
				index[id] = i
				r.Suspects = append(r.Suspects, kumquatlug.CrashSuspect{Identity: id})
			}
			r.Suspects[i].Requests = append(r.Suspects[i].Requests, hash)
			r.Suspects[i].Informed = r.Suspects[i].Informed || s.informed[id]
		}
	}
	return r
}

// maxLoggedSuspects bounds the requests and the suspects in one log line.
const maxLoggedSuspects = 64

func (c *crashes) logCrash(m kumquatlug.Member, broken []*sentAttempt, r kumquatlug.CrashReport) {
	c.g.metrics.crashes.WithLabelValues(m.Service).Inc()
	var requests, suspects []string
	for _, s := range broken[:min(len(broken), maxLoggedSuspects)] {
		requests = append(requests, s.request.ID())
	}
	for _, s := range r.Suspects[:min(len(r.Suspects), maxLoggedSuspects)] {
		suspects = append(suspects, s.Identity)
	}
	c.g.c.Logger.Warn("worker crashed", zap.String("worker", m.Worker.ID()), zap.String("service", m.Service), zap.Int64("started_at", m.StartedAt),
		zap.String("version", m.Worker.Version()), zap.Strings("requests", requests), zap.Strings("suspects", suspects))
}

// removeExpired forgets what no longer counts.
func (c *crashes) removeExpired(now kumquatlug.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evidence.RemoveExpired(now)
	for id, w := range c.suspicions {
		if !w.checking && now-w.lastAt > suspicionRetention {
			delete(c.suspicions, id)
		}
	}
}
