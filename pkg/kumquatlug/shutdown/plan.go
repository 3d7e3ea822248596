package shutdown

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Step is what a stopping process does.
type Step string

// Steps of a shutdown, in their order.
const (
	// Serve accepts connections: the load balancer may still send them.
	Serve Step = "serve"
	// Drain accepts no more connections and answers what the open ones have sent or are about
	// to send.
	Drain Step = "drain"
	// Refuse refuses requests that have arrived in part, as they can't be served before the exit.
	Refuse Step = "refuse"
	// Exit ends the process.
	Exit Step = "exit"
)

// Parameters of a shutdown.
const (
	// firstByteTime is how long a new connection that has sent nothing is waited for.
	firstByteTime = 2 * kumquatlug.Second
	// minQuietTime and maxQuietTime bound the time without a request that is served after which a
	// process is idle. One whose processor time is limited reads nothing for 100 ms at a time and more.
	minQuietTime = 300 * kumquatlug.Millis(1)
	maxQuietTime = kumquatlug.Second
	// minDrainTime and maxDrainTime bound how long before the exit no more connections are
	// accepted. Nearly all requests except long streams complete within minDrainTime.
	minDrainTime = 700 * kumquatlug.Millis(1)
	maxDrainTime = 2 * kumquatlug.Second
	// RefuseTime is how long before the exit partial requests are refused: enough to send the
	// refusal to a client that is still sending.
	RefuseTime = 600 * kumquatlug.Millis(1)
)

// marginNumerator and marginDenominator are the margin on the delay of heads: the link may fill up
// further.
const marginNumerator, marginDenominator = 3, 2

// PlanConfig configures a [Plan].
type PlanConfig struct {
	// StoppedAt is when the process was told to stop, ExitAt when it exits at the latest.
	StoppedAt, ExitAt kumquatlug.Millis
	// MinServeTime is the least time in ms for which connections are accepted after StoppedAt.
	MinServeTime kumquatlug.Millis
	// PollInterval is the time in ms between calls of [Plan.Next].
	PollInterval kumquatlug.Millis
}

// Plan decides when a stopping process accepts no more connections and when it exits.
type Plan struct {
	c        PlanConfig
	step     Step
	polledAt kumquatlug.Millis
	// latestPoll is the most by which a call of Next was late.
	latestPoll kumquatlug.Millis
	// takenAt is when the last request arrived that is served, or when the process was told to stop.
	takenAt kumquatlug.Millis
}

// NewPlan returns the plan of a process that has just been told to stop.
func NewPlan(c PlanConfig) *Plan {
	return &Plan{c: c, step: Serve, polledAt: c.StoppedAt, takenAt: c.StoppedAt}
}

// Take records that a request has arrived that is served. Those that are refused don't keep a process: its
// successor can serve them.
func (p *Plan) Take(now kumquatlug.Millis) { p.takenAt = now }

// LatestPoll returns the most by which a call of [Plan.Next] was late, in ms.
func (p *Plan) LatestPoll() kumquatlug.Millis { return p.latestPoll }

// Next returns the step at a time, given the connections and the number of requests in flight. Steps
// only follow each other.
func (p *Plan) Next(now kumquatlug.Millis, s *Connections, inFlight int) Step {
	late := now - p.polledAt - p.c.PollInterval
	p.polledAt, p.latestPoll = now, max(p.latestPoll, late)
	// A process that is called late has not been able to read what has arrived either.
	starved := late > p.c.PollInterval
	switch {
	case now >= p.c.ExitAt:
		p.step = Exit
	case p.step == Serve:
		if now >= p.drainAt(now, s) || !starved && p.idle(now, s, inFlight) {
			p.step = Drain
		}
	case !starved && inFlight == 0 && s.Answered(now):
		p.step = Exit
	case now >= p.c.ExitAt-RefuseTime:
		p.step = Refuse
	}
	return p.step
}

// drainAt returns when no more connections are accepted at the latest: what was accepted before is
// then read in time to be answered.
func (p *Plan) drainAt(now kumquatlug.Millis, s *Connections) kumquatlug.Millis {
	drainTime := min(minDrainTime+withMargin(s.HeadDelay(now)), maxDrainTime)
	return max(p.c.ExitAt-drainTime, min(p.c.StoppedAt+p.c.MinServeTime, p.c.ExitAt-minDrainTime))
}

// idle reports whether the process serves nothing, and has taken no request for the time that requests take to
// arrive over its link. What has arrived in part is answered after the last connection was accepted.
func (p *Plan) idle(now kumquatlug.Millis, s *Connections, inFlight int) bool {
	quiet := min(max(withMargin(s.HeadDelay(now)), minQuietTime), maxQuietTime)
	return now-p.c.StoppedAt >= p.c.MinServeTime && inFlight == 0 && s.Counts().Active == 0 && now-p.takenAt >= quiet
}

func withMargin(delay kumquatlug.Millis) kumquatlug.Millis {
	return delay * marginNumerator / marginDenominator
}
