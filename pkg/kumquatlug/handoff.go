package kumquatlug

import (
	"context"
	"net/http"
)

// The types of this file are the interface between a gateway that hands a request off to
// a peer with a higher-bandwidth link and that peer.

// HandoffStep is the type of a [Handoff] message.
type HandoffStep string

// The steps; HandoffOffered goes to the peer, the others come from it.
const (
	// HandoffOffered: a request is offered. An offer with key zero offers nothing; its
	// answer shows that the peer runs.
	HandoffOffered HandoffStep = "offered"
	// HandoffAccepted: the request may be transferred.
	HandoffAccepted HandoffStep = "accepted"
	// HandoffDeclined: the peer does not take the request.
	HandoffDeclined HandoffStep = "declined"
	// HandoffStalled: the worker of the transferred request is silent, and the peer may not
	// send the request to another one.
	HandoffStalled HandoffStep = "stalled"
)

// Handoff is one message between two gateways about a request that is handed off.
type Handoff struct {
	Step HandoffStep
	// Key distinguishes the offers of the sending gateway.
	Key uint64
	// Bytes is the length of the request's body.
	Bytes int
}

// GatewayLoad is the load of a gateway, attached to its messages; the zero value means
// that the gateway reports none.
type GatewayLoad struct {
	// LinkBytesPerMs is the rate of its link, LinkBacklog the time in ms until its link
	// has sent what was given to it.
	LinkBytesPerMs, LinkBacklog float64
	// InFlight is the number of requests in flight there.
	InFlight int
}

// HandoffPeer is a gateway to which requests can be handed off, as its row describes it.
type HandoffPeer struct {
	Name, Zone string
	// Address is IP:port of its listener for handed-off requests.
	Address string
	// LinkBytesPerMs is the rate of its link, zero if unknown.
	LinkBytesPerMs float64
}

// HandoffRequest is a request that is handed off to a peer gateway.
type HandoffRequest struct {
	// Address is IP:port of the peer's listener for handed-off requests.
	Address string
	// From is the name of the sending gateway, Key the key of the accepted offer.
	From string
	Key  uint64
	// Elapsed is the time since the request arrived at the sending gateway.
	Elapsed Millis
	// Proof shows that the request comes from a gateway.
	Proof   []byte
	Request Request
	// Header holds the headers from which the peer decodes the request. Unlike
	// those of Request they contain the client's key.
	Header http.Header
}

// HandoffResponse is a peer gateway's response to a handed-off request.
type HandoffResponse struct {
	response WorkerResponse
	refused  bool
	ran      Execution
	reason   string
	version  string
	gaveUp   func() bool
}

// HandoffResponseConfig configures a [HandoffResponse].
type HandoffResponseConfig struct {
	// Response is the response to forward to the client.
	Response WorkerResponse
	// Refused says that the response is the peer's own and not a worker's. Ran then
	// says whether the request ran, Reason is the reason code.
	Refused bool
	Ran     Execution
	Reason  string
	// Version is the version of the worker that generates the response, empty if unknown.
	Version string
	// GaveUp reports, once the body has ended, that the peer could not complete it.
	GaveUp func() bool
}

// NewHandoffResponse returns the response that c describes.
func NewHandoffResponse(c HandoffResponseConfig) HandoffResponse {
	return HandoffResponse{response: c.Response, refused: c.Refused, ran: c.Ran, reason: c.Reason, version: c.Version, gaveUp: c.GaveUp}
}

// Response returns the response to forward to the client.
func (r HandoffResponse) Response() WorkerResponse { return r.response }

// Refused reports that the response is the peer's own and not a worker's.
func (r HandoffResponse) Refused() bool { return r.refused }

// Ran returns whether a refused request ran.
func (r HandoffResponse) Ran() Execution { return r.ran }

// Reason returns the reason of a refusal.
func (r HandoffResponse) Reason() string { return r.reason }

// Version returns the version of the worker that generates the response, empty if it is unknown.
func (r HandoffResponse) Version() string { return r.version }

// GaveUp reports, once the body has ended, that the peer could not complete it and that
// nothing more may be tried.
func (r HandoffResponse) GaveUp() bool { return r.gaveUp != nil && r.gaveUp() }

// PeerClient transfers requests to peer gateways. An error says through [ExecutionOf]
// whether the peer may have run the request.
type PeerClient interface {
	// HandOff transfers a request once. The caller must close the body of the response;
	// closing it early cancels the request.
	HandOff(ctx context.Context, h HandoffRequest) (HandoffResponse, error)
}
