package kumquatlug

import "context"

// The types of this file are the interface between gateways that share engines. For
// each engine one gateway, its coordinator, orders the prompts of all gateways; the
// others request a permit from it before they send a prompt there. A lost message costs
// time, never a request: no guarantee to a client depends on one.

// TurnStep is the type of a [Turn] message.
type TurnStep string

// The steps; TurnAsked and TurnOver go to the coordinator, the others come from it.
const (
	// TurnAsked: a permit is requested for a prompt. The request may be sent
	// repeatedly.
	TurnAsked TurnStep = "asked"
	// TurnQueued: the prompt is in the coordinator's queue.
	TurnQueued TurnStep = "queued"
	// TurnGranted: the prompt may be sent now.
	TurnGranted TurnStep = "granted"
	// TurnRefused: the prompt can't be processed in time to be of use.
	TurnRefused TurnStep = "refused"
	// TurnUnknown: the gateway does not coordinate this engine.
	TurnUnknown TurnStep = "unknown"
	// TurnOver: the prompt has been processed, or is not needed any more.
	TurnOver TurnStep = "over"
)

// Turn is one message between two gateways about the permit for one prompt.
type Turn struct {
	Step TurnStep
	// Service and Engine are where the prompt is to be processed, Engine by name.
	Service, Engine string
	// Key distinguishes the prompts of the requesting gateway.
	Key uint64
	// Prompt is the prompt to process, Worth the value of the request relative to the
	// mean of its route.
	Prompt Prompt
	Worth  float64
	// Target is the time until the first output is due for full value, Patience the
	// time until the client gives up. Both are durations, since clocks differ; Timed
	// says that there is a Target.
	Target, Patience Millis
	Timed            bool
	// Begun says that the client has received a part of the response.
	Begun bool
	// Wait is how long the coordinator expects processing to take from now, Alone says
	// that the engine has no other prompt in flight, Fresh is the expected number of
	// prompt tokens that are not cached.
	Wait  Millis
	Alone bool
	Fresh int
}

// TurnMessage is a [Turn] with the gateway that it is sent to or received from.
type TurnMessage struct {
	Front string
	Turn  Turn
}

// Coordinators maps engines to the gateways that coordinate them.
type Coordinators interface {
	// Coordinator returns the name of the gateway that orders the prompts at an engine;
	// empty if none can be reached, so that each gateway proceeds without coordination.
	Coordinator(now Millis, engine string) string
	// Coordinates reports whether this gateway is the engine's coordinator.
	Coordinates(now Millis, engine string) bool
	// Answered and Missed record whether a gateway responded in time.
	Answered(gateway string)
	Missed(now Millis, gateway string)
}

// FrontLink carries messages between gateways. Messages may be lost.
type FrontLink interface {
	// Row returns this gateway's row in the platform's store, which the others read.
	Row() []byte
	// Meet updates the peers from the rows of all gateways by name. It returns the
	// names of the reachable gateways, including this one, and those of them that are
	// new or were restarted since the last call.
	Meet(rows map[string][]byte) (reachable, restarted []string)
	// Send sends a message to a gateway.
	Send(m TurnMessage)
	// Leave notifies the peers that this gateway shuts down.
	Leave()
	// TellConfig notifies a gateway of the config in force here; if the name is empty,
	// a gateway chosen by the link.
	TellConfig(gateway string)
	// AskConfig requests the text of a gateway's config, GiveConfig responds to such a
	// request.
	AskConfig(gateway string, request ConfigAsk)
	GiveConfig(gateway string, part ConfigPart)
	// Receive passes received messages to h until ctx ends.
	Receive(ctx context.Context, h FrontHandler) error
}

// FrontHandler handles messages from other gateways.
type FrontHandler interface {
	// Turn handles a message about a permit.
	Turn(m TurnMessage)
	// Met handles the announcement of a gateway, Left its notice that it shuts down.
	Met(gateway string)
	Left(gateway string)
	// ConfigState returns the state that is attached to all messages, ConfigHeard
	// handles the state received from a gateway.
	ConfigState() ConfigState
	ConfigHeard(gateway string, state ConfigState)
	// ConfigAsked and ConfigGiven handle messages about the text of a config.
	ConfigAsked(gateway string, request ConfigAsk)
	ConfigGiven(gateway string, part ConfigPart)
}
