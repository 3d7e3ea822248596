package kumquatlug

// RolePlanner decides which engines of a group run prompts (prefill) and which generate
// output (decode). Implementations take events and the time as input and return orders;
// an instance belongs to one goroutine.
type RolePlanner interface {
	// RecordDemand records the demand that arrived at one gateway.
	RecordDemand(now Millis, o Demand)
	// Report records an engine's report.
	Report(now Millis, e EngineReport)
	// OrderRefused records that an order was refused and the engine keeps its role.
	OrderRefused(now Millis, target string)
	// Remove removes an engine that is withdrawn or lost.
	Remove(now Millis, target string)
	// Plan returns the role changes to order now. An engine with a pending order counts
	// as unavailable until a report shows it in its new role.
	Plan(now Millis) []RoleChange
}

// Demand is the work that callers sent to one gateway in a period, whether it was
// admitted or not.
type Demand struct {
	// Gateway is the gateway's name.
	Gateway string
	// Period is the length of the period, which ends now.
	Period Millis
	// PrefillTokens and DecodeTokens are the tokens to process and to generate.
	PrefillTokens float64
	DecodeTokens  float64
}

// EngineReport is the report of an engine of a group.
type EngineReport struct {
	// Target is the engine's name.
	Target string
	// Role is the engine's current role.
	Role Role
	// PendingRole is the role of an order that is still pending, whoever gave it; empty for
	// none.
	PendingRole Role
	// TakenAt is the time of the report, on the reader's clock.
	TakenAt Millis
	// InFlight and Waiting are the numbers of calls in flight and queued.
	InFlight int
	Waiting  int
	// PrefillRate and DecodeRate are the tokens per second that it processes and
	// generates.
	PrefillRate float64
	DecodeRate  float64
}

// RoleChange is an order to an engine to change its role. The engine drains first: new
// work is refused as not run, work in flight is finished.
type RoleChange struct {
	target string
	from   Role
	to     Role
	reason string
}

// NewRoleChange returns the order to target to change from one role to another.
func NewRoleChange(target string, from, to Role, reason string) RoleChange {
	return RoleChange{target: target, from: from, to: to, reason: reason}
}

// Target returns the engine's name.
func (c RoleChange) Target() string { return c.target }

// From returns the role that the engine is expected to have; an engine with another
// role refuses.
func (c RoleChange) From() Role { return c.from }

// To returns the new role.
func (c RoleChange) To() Role { return c.to }

// Reason returns the reason for the change as text for the operator.
func (c RoleChange) Reason() string { return c.reason }
