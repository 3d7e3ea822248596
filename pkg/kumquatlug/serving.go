package kumquatlug

import "github.com/cespare/xxhash/v2"

// Repeat says what may be done again with a request.
type Repeat string

// The kinds of requests by what may be repeated.
const (
	// RepeatFree: the request may run more than once.
	RepeatFree Repeat = "idempotent"
	// RepeatNever: the request runs at most once for each try of the client.
	RepeatNever Repeat = "once"
)

// Share is a service and its weight among those of one route.
type Share struct {
	Service string
	Weight  int
}

// RouteConfig is what a [Route] is made of.
type RouteConfig struct {
	Name   string
	Host   string
	Prefix string
	// Repeat says whether a request may run more than once from its start.
	Repeat Repeat
	// Stream says that the answer is a series of events.
	Stream bool
	// Resumable says that a stream may go on at another worker.
	Resumable bool
	// Prompted says that requests carry prompts whose parts are worth keeping
	// together.
	Prompted bool
	// Shares are the services that run the route.
	Shares []Share
	// Workers is the greatest number of workers for one try of a client.
	Workers int
	// Priority ranks routes, 0 first.
	Priority int
	// Public says that requests need no key.
	Public bool
	// Target is the latency for full worth, Timeout the longest that a client
	// is kept waiting, Gap the longest pause between events; zero for none.
	Target, Timeout, Gap Millis
}

// Route is one rule of the config.
type Route struct{ c RouteConfig }

// NewRoute returns the route that c describes.
func NewRoute(c RouteConfig) Route { return Route{c: c} }

// Host returns the host that the route belongs to.
func (r Route) Host() string { return r.c.Host }

// Prefix returns the beginning of the paths that the route takes.
func (r Route) Prefix() string { return r.c.Prefix }

// Name returns the route's name.
func (r Route) Name() string { return r.c.Name }

// Stream reports whether answers are series of events.
func (r Route) Stream() bool { return r.c.Stream }

// Resumable reports whether a stream may go on at another worker.
func (r Route) Resumable() bool { return r.c.Resumable }

// Prompted reports whether requests carry prompts.
func (r Route) Prompted() bool { return r.c.Prompted }

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool { return r.c.Repeat == RepeatFree || r.c.Stream && r.c.Resumable }

// Workers returns how many workers one try of a client may reach, at least one.
func (r Route) Workers() int { return max(r.c.Workers, 1) }

// Public reports whether requests need no key.
func (r Route) Public() bool { return r.c.Public }

// Priority returns the route's rank, 0 first.
func (r Route) Priority() int { return r.c.Priority }

// Target returns the latency for full worth, zero for none.
func (r Route) Target() Millis { return r.c.Target }

// Timeout returns how long a client is kept waiting at most, zero for no bound.
func (r Route) Timeout() Millis { return r.c.Timeout }

// Gap returns the longest pause between events, zero for none.
func (r Route) Gap() Millis { return r.c.Gap }

// Service returns the service that runs the request with this id: by weight,
// and always the same one for the same id, so that a request that is sent again
// stays where it was.
func (r Route) Service(id string) string {
	total := 0
	for _, s := range r.c.Shares {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.c.Shares) == 0 {
			return ""
		}
		return r.c.Shares[0].Service
	}
	remaining := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.c.Shares {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return ""
}

// ServiceConfig is what a [Service] is made of.
type ServiceConfig struct {
	Name       string
	HealthPath string
	// Connections bounds those to one worker, from all machines together.
	Connections int
	// Engine says that the workers are language-model engines.
	Engine bool
	// Slots is how many requests an engine runs at once, Memory the tokens that
	// it keeps, Switch how long a change of role takes.
	Slots  int
	Memory int
	Switch Millis
	// Scaling bounds how many workers there are in each data centre, zero where the
	// operator sets their number.
	Scaling Scaling
}

// Scaling is between how many workers a service may have in one data centre, and how
// long a new one takes until it serves.
type Scaling struct {
	Least, Most int
	Boot        Millis
}

// Service is a group of workers.
type Service struct{ c ServiceConfig }

// NewService returns the service that c describes.
func NewService(c ServiceConfig) Service { return Service{c: c} }

// Name returns the service's name.
func (s Service) Name() string { return s.c.Name }

// HealthPath returns the path of the health check.
func (s Service) HealthPath() string { return s.c.HealthPath }

// Connections returns the bound on connections to one worker.
func (s Service) Connections() int { return s.c.Connections }

// Engine reports whether the workers are language-model engines.
func (s Service) Engine() bool { return s.c.Engine }

// Slots returns how many requests one engine runs at once.
func (s Service) Slots() int { return s.c.Slots }

// Memory returns how many tokens one engine keeps.
func (s Service) Memory() int { return s.c.Memory }

// Switch returns how long a change of role takes.
func (s Service) Switch() Millis { return s.c.Switch }

// Scaling returns the bounds on the number of workers; Most is zero where the operator
// sets that number.
func (s Service) Scaling() Scaling { return s.c.Scaling }

// Limits bound what a client may send; zero means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout Millis
	IdleTimeout   Millis
}

// OperatorConfig is one version of what the operator wants.
type OperatorConfig struct {
	// Version rises with each config.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keyed says that requests carry keys. Accounts are then all that may be used,
	// one entry for each key.
	Keyed    bool
	Accounts []Caller
}

// MemberState is whether a worker takes new work.
type MemberState string

// The states of members.
const (
	MemberReady    MemberState = "ready"
	MemberDraining MemberState = "draining"
)

// Member is what a worker says of itself in the platform's store.
type Member struct {
	// Worker is its incarnation's name and address.
	Worker Worker
	// Service is the group that it belongs to, Zone its data centre.
	Service string
	Zone    string
	State   MemberState
	// Slots is how many requests it runs at once.
	Slots int
	// Role is what an engine does, empty for a plain service.
	Role Role
	// Born tells two starts under one name apart, in Unix milliseconds of the
	// worker's own clock; zero when it does not say.
	Born int64
	// Cold is how much longer it is slow after its start.
	Cold Millis
}
