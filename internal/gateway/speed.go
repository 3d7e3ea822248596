package gateway

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/pace"
)

// Parameters of sending the speeds of workers to peers. An entry has about 45 bytes.
const (
	// speedsPerDatagram is the number of entries in one datagram.
	speedsPerDatagram = 4
	// speedsPerSecond bounds the entries that are sent, 2.7 KB/s of the 5 KB/s of a gateway's
	// control plane. initialSpeedsPerSecond applies for the first seconds with speeds: the
	// holder of the lease can assign roles by speed only after it knows all engines.
	speedsPerSecond, initialSpeedsPerSecond = 60, 160
	initialSpeedTime                        = 10 * kumquatlug.Second
	// maxSpeedDelay is how long entries wait for a datagram that is sent anyway.
	maxSpeedDelay = 100 * kumquatlug.Millis(1)
)

// speedSending bounds how many entries are sent.
type speedSending struct {
	mu sync.Mutex
	// firstAt is when the first entry was sent, sentAt the last one. allowed is the number of
	// entries that may be sent at updatedAt.
	firstAt, sentAt, updatedAt kumquatlug.Millis
	allowed                    float64
}

// take returns how many entries may be sent now and counts them as sent.
func (s *speedSending) take(now kumquatlug.Millis) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := speedsPerSecond
	if s.firstAt == 0 || now-s.firstAt < initialSpeedTime {
		rate = initialSpeedsPerSecond
	}
	s.allowed = min(s.allowed+float64(rate)*float64(now-s.updatedAt)/float64(kumquatlug.Second), 4*speedsPerDatagram)
	s.updatedAt = now
	n := min(int(s.allowed), speedsPerDatagram)
	s.allowed -= float64(n)
	return n
}

// record gives back the entries that were not sent of those taken.
func (s *speedSending) record(now kumquatlug.Millis, taken, sent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allowed += float64(taken - sent)
	if sent == 0 {
		return
	}
	s.sentAt = now
	if s.firstAt == 0 {
		s.firstAt = now
	}
}

// overdue reports whether nothing was sent for maxSpeedDelay.
func (s *speedSending) overdue(now kumquatlug.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now-s.sentAt >= maxSpeedDelay
}

// Speeds implements [kumquatlug.SpeedHandler].
func (g *Gateway) Speeds() []kumquatlug.WorkerSpeed {
	now := g.c.Clock.Now()
	taken := g.speedSending.take(now)
	var speeds []kumquatlug.WorkerSpeed
	if taken > 0 {
		speeds = g.scheduler.outgoingSpeeds(now, taken)
	}
	g.speedSending.record(now, taken, len(speeds))
	return speeds
}

// SpeedsReceived implements [kumquatlug.SpeedHandler].
func (g *Gateway) SpeedsReceived(peer string, speeds []kumquatlug.WorkerSpeed) {
	g.scheduler.speedsReceived(g.c.Clock.Now(), peer, speeds)
}

// announceSpeeds sends a peer the speeds that no other datagram has carried in time.
func (g *Gateway) announceSpeeds() {
	if g.c.Peers != nil && g.speedSending.overdue(g.c.Clock.Now()) && g.scheduler.hasOutgoingSpeeds() {
		g.c.Peers.AnnounceSpeeds()
	}
}

// outgoingSpeeds returns up to n entries for a peer.
func (sc *scheduler) outgoingSpeeds(now kumquatlug.Millis, n int) []kumquatlug.WorkerSpeed {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var all []kumquatlug.WorkerSpeed
	for name, state := range sc.services {
		speeds := state.placer.Speeds().Outgoing(now, n-len(all))
		for i := range speeds {
			speeds[i].Service = name
		}
		all = append(all, speeds...)
	}
	return all
}

func (sc *scheduler) hasOutgoingSpeeds() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, state := range sc.services {
		if state.placer.Speeds().HasOutgoing() {
			return true
		}
	}
	return false
}

func (sc *scheduler) speedsReceived(now kumquatlug.Millis, peer string, speeds []kumquatlug.WorkerSpeed) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, speed := range speeds {
		if state, known := sc.services[speed.Service]; known {
			state.placer.Speeds().Receive(now, peer, speed)
		}
	}
}

// engineSpeeds returns the relative times of a service's engines by name, for those whose speed
// is known.
func (sc *scheduler) engineSpeeds(service string) map[string]float64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.EngineSpeeds(sc.c.Clock.Now())
}

// streamEngines returns the engines of a service that suit streams, and how many of them should
// decode.
func (sc *scheduler) streamEngines(service string) (suitable map[string]bool, wanted int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.StreamEngines(sc.c.Clock.Now())
}

// speedSummaries returns the speeds of the workers of the services that have any.
func (sc *scheduler) speedSummaries(now kumquatlug.Millis) map[string]pace.Summary {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	summaries := map[string]pace.Summary{}
	for name, state := range sc.services {
		if state.placer.Speeds().Active() {
			summaries[name] = state.placer.Speeds().Summary(now)
		}
	}
	return summaries
}

// speedMetrics are the metrics of the speeds of workers.
type speedMetrics struct {
	relativeTime, slowed *prometheus.GaugeVec
	exchanges            *prometheus.CounterVec
	// active are the services whose speeds have been logged as in use. It belongs to the
	// goroutine of the periodic maintenance.
	active map[string]bool
}

func newSpeedMetrics(r prometheus.Registerer) *speedMetrics {
	m := &speedMetrics{
		relativeTime: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kumquatlug_front_relative_time", Help: "Time that work takes at the fastest and at the slowest worker, relative to the mean of the service.",
		}, []string{"service", "worker"}),
		slowed: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "kumquatlug_front_slowed_workers", Help: "Share of the workers whose reported time factor is above 1.5.",
		}, []string{"service"}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_front_role_exchanges_total", Help: "Pairs of engines that were exchanged so that the faster one decodes.",
		}, []string{"service"}),
		active: map[string]bool{},
	}
	r.MustRegister(m.relativeTime, m.slowed, m.exchanges)
	return m
}

// exportSpeeds sets the metrics of the speeds, and logs when the speeds of a service come into
// use.
func (g *Gateway) exportSpeeds() {
	for service, summary := range g.scheduler.speedSummaries(g.c.Clock.Now()) {
		g.speedMetrics.relativeTime.WithLabelValues(service, "fastest").Set(summary.Fastest())
		g.speedMetrics.relativeTime.WithLabelValues(service, "slowest").Set(summary.Slowest())
		g.speedMetrics.slowed.WithLabelValues(service).Set(summary.SlowedFraction())
		if !g.speedMetrics.active[service] {
			g.speedMetrics.active[service] = true
			g.c.Logger.Info("worker speeds in use", zap.String("service", service))
		}
	}
}
