package kumquatlug

import "context"

// The types of this file are the interface between gateways that share engines. For
// each engine one gateway, its coordinator, orders the prompts of all gateways; the
// others request a permit from it before they send a prompt there. A lost message costs
// time, never a request: no guarantee to a client depends on one.

// PermitStep is the type of a [Permit] message.
type PermitStep string

// The steps; PermitRequested and PermitReleased go to the coordinator, the others come from it.
const (
	// PermitRequested: a permit is requested for a prompt. The request may be sent
	// repeatedly.
	PermitRequested PermitStep = "asked"
	// PermitQueued: the prompt is in the coordinator's queue.
	PermitQueued PermitStep = "queued"
	// PermitGranted: the prompt may be sent now.
	PermitGranted PermitStep = "granted"
	// PermitRefused: the prompt can't be processed in time to be of use.
	PermitRefused PermitStep = "refused"
	// PermitNotCoordinator: the gateway does not coordinate this engine.
	PermitNotCoordinator PermitStep = "unknown"
	// PermitReleased: the prompt has been processed, or is not needed any more.
	PermitReleased PermitStep = "over"
)

// Permit is one message between two gateways about the permit for one prompt.
type Permit struct {
	Step PermitStep
	// Service and Engine are where the prompt is to be processed, Engine by name.
	Service, Engine string
	// Key distinguishes the prompts of the requesting gateway.
	Key uint64
	// Prompt is the prompt to process, Value the value of the request relative to the
	// mean of its route.
	Prompt Prompt
	Value  float64
	// LatencyTarget is the time until the first output is due for full value,
	// ClientTimeout the time until the client gives up. Both are durations, since clocks
	// differ; HasLatencyTarget says that there is a LatencyTarget.
	LatencyTarget, ClientTimeout Millis
	HasLatencyTarget             bool
	// ResponseStarted says that the client has received a part of the response.
	ResponseStarted bool
	// Wait is how long the coordinator expects processing to take from now, EngineIdle
	// says that the engine has no other prompt in flight, UncachedTokens is the expected
	// number of prompt tokens that are not cached.
	Wait           Millis
	EngineIdle     bool
	UncachedTokens int
}

// PermitMessage is a [Permit] with the gateway that it is sent to or received from.
type PermitMessage struct {
	Gateway string
	Permit  Permit
}

// Coordinators maps engines to the gateways that coordinate them.
type Coordinators interface {
	// Coordinator returns the name of the gateway that orders the prompts at an engine;
	// empty if none can be reached, so that each gateway proceeds without coordination.
	Coordinator(now Millis, engine string) string
	// IsCoordinator reports whether this gateway is the engine's coordinator.
	IsCoordinator(now Millis, engine string) bool
	// PeerResponded and PeerTimedOut record whether a gateway responded in time.
	PeerResponded(gateway string)
	PeerTimedOut(now Millis, gateway string)
}

// GatewayLink carries messages between gateways. Messages may be lost.
type GatewayLink interface {
	// Row returns this gateway's row in the platform's store, which the others read.
	Row() []byte
	// UpdatePeers updates the peers from the rows of all gateways by name. It returns the
	// names of the reachable gateways, including this one, and those of them that are
	// new or were restarted since the last call.
	UpdatePeers(rows map[string][]byte) (reachable, restarted []string)
	// Send sends a message to a gateway.
	Send(m PermitMessage)
	// AnnounceStop notifies the peers that this gateway is shutting down.
	AnnounceStop()
	// AnnounceConfig notifies a gateway of the config in force here; if the name is empty,
	// a gateway chosen by the link.
	AnnounceConfig(gateway string)
	// AnnounceSpeeds sends a gateway chosen by the link the speeds of workers that the
	// handler has for it.
	AnnounceSpeeds()
	// RequestConfig requests the text of a gateway's config, SendConfigPart responds to
	// such a request.
	RequestConfig(gateway string, request ConfigRequest)
	SendConfigPart(gateway string, part ConfigPart)
	// SendDecodeCount sends the number of this gateway's requests at an engine to the
	// engine's coordinator, SendDecodeTotal responds to such a message.
	SendDecodeCount(gateway string, count DecodeCount)
	SendDecodeTotal(gateway string, total DecodeTotal)
	// SendStreamVersion sends a message about the version of a stream.
	SendStreamVersion(gateway string, v StreamVersion)
	// SendQuarantine sends a message about crashes of workers.
	SendQuarantine(gateway string, m QuarantineMessage)
	// SendPresence sends a gateway, or one chosen by the link if the name is empty, a message about whether a
	// worker is there.
	SendPresence(gateway string, p WorkerPresence)
	// SendHandoff sends a message about the offer of a request.
	SendHandoff(gateway string, h Handoff)
	// HandoffPeers returns the gateways that accept handed-off requests.
	HandoffPeers() []HandoffPeer
	// Zone returns the data centre of a gateway, empty if it is unknown.
	Zone(gateway string) string
	// HandoffProof returns a proof, for another gateway, that a message comes from a
	// gateway; nil if the other one is unknown. VerifyHandoffProof checks a proof that
	// was made for this gateway.
	HandoffProof(gateway string, message []byte) []byte
	VerifyHandoffProof(message, proof []byte) bool
	TableLink
	// Receive passes received messages to h until ctx ends.
	Receive(ctx context.Context, h GatewayHandler) error
}

// GatewayHandler handles messages from other gateways.
type GatewayHandler interface {
	SpeedHandler
	// PermitReceived handles a message about a permit.
	PermitReceived(m PermitMessage)
	// PeerJoined handles the announcement of a gateway, which it attaches to all messages until it
	// has received one. started says that the announcement is the first one of its process.
	PeerJoined(gateway string, started bool)
	// PeerLeft handles the notice of a gateway that it is shutting down.
	PeerLeft(gateway string)
	// ConfigState returns the state that is attached to all messages,
	// ConfigStateReceived handles the state received from a gateway.
	ConfigState() ConfigState
	ConfigStateReceived(gateway string, state ConfigState)
	// ConfigRequested and ConfigPartReceived handle messages about the text of a config.
	ConfigRequested(gateway string, request ConfigRequest)
	ConfigPartReceived(gateway string, part ConfigPart)
	// PresenceReceived handles a message about whether a worker is there.
	PresenceReceived(gateway string, p WorkerPresence)
	// DecodeCountReceived and DecodeTotalReceived handle messages about decode slots.
	DecodeCountReceived(gateway string, count DecodeCount)
	DecodeTotalReceived(gateway string, total DecodeTotal)
	// GatewayLoad returns the load that is attached to all messages, GatewayLoadReceived
	// handles the load of another gateway.
	GatewayLoad() GatewayLoad
	GatewayLoadReceived(gateway string, load GatewayLoad)
	// StreamVersionReceived handles a message about the version of a stream.
	StreamVersionReceived(gateway string, v StreamVersion)
	// QuarantineReceived handles a message about crashes of workers.
	QuarantineReceived(gateway string, m QuarantineMessage)
	// HandoffReceived handles a message about the offer of a request.
	HandoffReceived(gateway string, h Handoff)
	TableHandler
}
