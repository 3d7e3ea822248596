package kumquatlug

import "github.com/cespare/xxhash/v2"

// RetryPolicy says whether a request may be retried after it may have run.
type RetryPolicy string

// The retry policies of routes.
const (
	// RetryIdempotent: the request may run more than once.
	RetryIdempotent RetryPolicy = "idempotent"
	// RetryNever: the request runs at most once per attempt of the client.
	RetryNever RetryPolicy = "once"
)

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// RouteConfig configures a [Route].
type RouteConfig struct {
	Name   string
	Host   string
	Prefix string
	// RetryPolicy says whether a request may run more than once from its start.
	RetryPolicy RetryPolicy
	// Stream says that the response is a stream of events.
	Stream bool
	// Resumable says that a stream may continue at another worker.
	Resumable bool
	// HasPrompts says that requests carry prompts whose shared parts are worth routing to
	// the same engine.
	HasPrompts bool
	// Services are the services of the route with their weights.
	Services []WeightedService
	// MaxWorkers is the maximum number of workers tried per attempt of a client.
	MaxWorkers int
	// Priority ranks routes, 0 first.
	Priority int
	// Public says that requests need no key.
	Public bool
	// LatencyTarget is the latency within which a response has its full value, Timeout the
	// longest that a client is kept waiting, MaxEventGap the longest pause between
	// events; zero for none.
	LatencyTarget, Timeout, MaxEventGap Millis
}

// Route is one routing rule of the config.
type Route struct{ c RouteConfig }

// NewRoute returns the route that c describes.
func NewRoute(c RouteConfig) Route { return Route{c: c} }

// Host returns the host that the route matches.
func (r Route) Host() string { return r.c.Host }

// Prefix returns the path prefix that the route matches.
func (r Route) Prefix() string { return r.c.Prefix }

// Name returns the route's name.
func (r Route) Name() string { return r.c.Name }

// Stream reports whether responses are streams of events.
func (r Route) Stream() bool { return r.c.Stream }

// Resumable reports whether a stream may continue at another worker.
func (r Route) Resumable() bool { return r.c.Resumable }

// HasPrompts reports whether requests carry prompts.
func (r Route) HasPrompts() bool { return r.c.HasPrompts }

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.c.RetryPolicy == RetryIdempotent || r.c.Stream && r.c.Resumable
}

// MaxWorkers returns the maximum number of workers tried per attempt of a client, at least
// one.
func (r Route) MaxWorkers() int { return max(r.c.MaxWorkers, 1) }

// Public reports whether requests need no key.
func (r Route) Public() bool { return r.c.Public }

// Priority returns the route's rank, 0 first.
func (r Route) Priority() int { return r.c.Priority }

// LatencyTarget returns the latency within which a response has its full value, zero for none.
func (r Route) LatencyTarget() Millis { return r.c.LatencyTarget }

// Timeout returns the longest that a client is kept waiting, zero for no limit.
func (r Route) Timeout() Millis { return r.c.Timeout }

// MaxEventGap returns the longest pause between events, zero for none.
func (r Route) MaxEventGap() Millis { return r.c.MaxEventGap }

// Services returns the names of the services that the route sends requests to.
func (r Route) Services() []string {
	var names []string
	for _, s := range r.c.Services {
		names = append(names, s.Service)
	}
	return names
}

// Service returns the service for the request with this id, chosen by weight. The
// choice depends only on the id, so that a retried request stays with its service.
func (r Route) Service(id string) string {
	total := 0
	for _, s := range r.c.Services {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.c.Services) == 0 {
			return ""
		}
		return r.c.Services[0].Service
	}
	remaining := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.c.Services {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return ""
}

// ServiceConfig configures a [Service].
type ServiceConfig struct {
	Name       string
	HealthPath string
	// MaxConnections limits the connections to one worker, from all gateways together.
	MaxConnections int
	// Engine says that the workers are language-model engines.
	Engine bool
	// Slots is the number of requests that an engine runs at once, KVCapacityTokens the
	// number of tokens that its KV cache holds, RoleChangeTime the time that a role
	// change takes.
	Slots            int
	KVCapacityTokens int
	RoleChangeTime   Millis
	// Scaling bounds the number of workers in each data centre; zero if the operator
	// sets that number.
	Scaling Scaling
}

// Scaling holds the least and the greatest number of workers of a service in one data
// centre, and the time that a new worker takes until it serves.
type Scaling struct {
	MinWorkers, MaxWorkers int
	BootTime               Millis
}

// Service is a group of workers.
type Service struct{ c ServiceConfig }

// NewService returns the service that c describes.
func NewService(c ServiceConfig) Service { return Service{c: c} }

// Name returns the service's name.
func (s Service) Name() string { return s.c.Name }

// HealthPath returns the path of the health check.
func (s Service) HealthPath() string { return s.c.HealthPath }

// MaxConnections returns the limit on connections to one worker.
func (s Service) MaxConnections() int { return s.c.MaxConnections }

// Engine reports whether the workers are language-model engines.
func (s Service) Engine() bool { return s.c.Engine }

// Slots returns the number of requests that one engine runs at once.
func (s Service) Slots() int { return s.c.Slots }

// KVCapacityTokens returns the number of tokens that one engine's KV cache holds.
func (s Service) KVCapacityTokens() int { return s.c.KVCapacityTokens }

// RoleChangeTime returns the time that a role change takes.
func (s Service) RoleChangeTime() Millis { return s.c.RoleChangeTime }

// Scaling returns the bounds on the number of workers; MaxWorkers is zero if the
// operator sets that number.
func (s Service) Scaling() Scaling { return s.c.Scaling }

// Limits bound the size and timing of client requests; zero means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout Millis
	IdleTimeout   Millis
}

// OperatorConfig is one version of the operator's config.
type OperatorConfig struct {
	// Version increases with each config.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// KeysRequired says that requests must carry keys. Accounts are then all accounts that may
	// be used, one entry per key.
	KeysRequired bool
	Accounts     []Caller
}

// MemberState says whether a worker takes new work.
type MemberState string

// The states of members.
const (
	MemberReady    MemberState = "ready"
	MemberDraining MemberState = "draining"
)

// Member is a worker's row in the platform's store.
type Member struct {
	// Worker is its incarnation's id, address and version.
	Worker Worker
	// Service is the group that it belongs to, Zone its data centre.
	Service string
	Zone    string
	State   MemberState
	// Slots is the number of requests that it runs at once.
	Slots int
	// Role is the role of an engine, empty for a plain service.
	Role Role
	// StartedAt distinguishes two starts under the same name, in Unix milliseconds of the
	// worker's own clock; zero if unknown.
	StartedAt int64
	// WarmupRemaining is the remaining time that it is slow after its start.
	WarmupRemaining Millis
}
