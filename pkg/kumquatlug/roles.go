package kumquatlug

// RolePlanner decides which engines of a group run prompts and which generate
// output. Implementations take events and the time in and give orders out; they
// belong to one loop each.
type RolePlanner interface {
	// Offered records the work that came through one entry.
	Offered(now Millis, o Offer)
	// Report records what an engine said of itself.
	Report(now Millis, e EngineReport)
	// Refused records that an order was not taken and the engine keeps its role.
	Refused(now Millis, target string)
	// Remove forgets an engine that is withdrawn or lost.
	Remove(now Millis, target string)
	// Plan returns the changes to order now. An engine that was ordered counts
	// as away until a report shows it in its new role.
	Plan(now Millis) []RoleChange
}

// Offer is the work that callers brought to one entry in a span of time, whether
// it was admitted or not.
type Offer struct {
	// Entry is the entry's name.
	Entry string
	// Span is how long the offer was counted, up to now.
	Span Millis
	// PrefillTokens and DecodeTokens are the tokens to run and to generate.
	PrefillTokens float64
	DecodeTokens  float64
}

// EngineReport is what an engine of a group said of itself.
type EngineReport struct {
	// Target is the engine's name.
	Target string
	// Role is what the engine does now.
	Role Role
	// Going is the role that it was ordered to take and has not taken yet,
	// whoever ordered it; empty for none.
	Going Role
	// TakenAt is when this was so, on the reader's clock.
	TakenAt Millis
	// InHand and Waiting count its calls.
	InHand  int
	Waiting int
	// PrefillRate and DecodeRate are the tokens a second that it works off.
	PrefillRate float64
	DecodeRate  float64
}

// RoleChange is an order to an engine to change its role. It drains first: new
// work is refused as not run, work in hand is finished.
type RoleChange struct {
	target string
	from   Role
	to     Role
	reason string
}

// NewRoleChange returns the order for target to go from one role to another.
func NewRoleChange(target string, from, to Role, reason string) RoleChange {
	return RoleChange{target: target, from: from, to: to, reason: reason}
}

// Target returns the engine's name.
func (c RoleChange) Target() string { return c.target }

// From returns the role that the engine is believed to have; an engine with
// another one refuses.
func (c RoleChange) From() Role { return c.from }

// To returns the role to take.
func (c RoleChange) To() Role { return c.to }

// Reason returns, for a person, why the change pays.
func (c RoleChange) Reason() string { return c.reason }
