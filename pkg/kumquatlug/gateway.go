package kumquatlug

import (
	"context"
	"io"
	"net/http"
)

// The types of this file are the interface between a gateway that calls targets
// directly, without an agent beside each target, and the implementation of their
// protocol.

// Part is one part of a prompt. Requests with the same leading parts share the cached
// prefix at an engine.
type Part struct {
	id     string
	tokens int
}

// NewPart returns the part with this id, which covers this many tokens.
func NewPart(id string, tokens int) Part { return Part{id: id, tokens: tokens} }

// ID returns the part's id.
func (p Part) ID() string { return p.id }

// Tokens returns the number of prompt tokens that the part covers.
func (p Part) Tokens() int { return p.tokens }

// Prompt describes the prompt and the output length of a request before it runs.
type Prompt struct {
	parts   []Part
	further []string
	input   int
	output  int
}

// NewPrompt returns a prompt of input tokens in these parts, for which at most output
// tokens are generated.
func NewPrompt(parts []Part, input, output int) Prompt {
	return Prompt{parts: parts, input: input, output: output}
}

// Parts returns the parts in order; the last one is unique to the request.
func (p Prompt) Parts() []Part { return p.parts }

// Input returns the length of the prompt in tokens.
func (p Prompt) Input() int { return p.input }

// Output returns the maximum number of tokens to generate.
func (p Prompt) Output() int { return p.output }

// Shared returns the parts that other requests may have in common with the prompt, that
// is all but the last.
func (p Prompt) Shared() []Part {
	if len(p.parts) == 0 {
		return nil
	}
	return p.parts[:len(p.parts)-1]
}

// WithFurtherParts returns the prompt with the IDs of the parts that follow [Prompt.Parts] in a prompt of
// very many; the last one is unique to the request.
func (p Prompt) WithFurtherParts(ids []string) Prompt {
	p.further = ids
	return p
}

// SharedIDs returns the IDs of all parts that other requests may have in common with the prompt.
func (p Prompt) SharedIDs() []string {
	ids := make([]string, 0, len(p.parts)+len(p.further))
	for _, part := range p.parts {
		ids = append(ids, part.ID())
	}
	ids = append(ids, p.further...)
	return ids[:max(len(ids)-1, 0)]
}

// Request is one request as a gateway received it from a client.
type Request struct {
	id          string
	host        string
	method      string
	path        string
	target      string
	header      http.Header
	body        Body
	timeout     Millis
	lastEventID int64
	resumes     string
	prompt      Prompt
	// credential identifies the client, account is the account found by it.
	credential Credential
	account    string
}

// RequestConfig configures a [Request].
type RequestConfig struct {
	// ID is unique to this attempt of the client.
	ID string
	// Host and Path select the route.
	Host, Path string
	// Method and Target, the path with its query, are forwarded unchanged.
	Method, Target string
	// Header holds the headers to forward.
	Header http.Header
	// Body is the complete body.
	Body Body
	// Timeout is how long the client waits, counted from the arrival; zero if it does
	// not say.
	Timeout Millis
	// LastEventID is the number of the last event that the client has received, zero for
	// none.
	LastEventID int64
	// Resumes is the ID of the attempt that brought the first event of the stream which
	// the client takes up, empty if it does not say.
	Resumes string
	// Prompt describes the work of an engine; zero for plain services.
	Prompt Prompt
	// Credential identifies the client.
	Credential Credential
}

// NewRequest returns the request that c describes.
func NewRequest(c RequestConfig) Request {
	return Request{
		id: c.ID, host: c.Host, method: c.Method, path: c.Path, target: c.Target, header: c.Header,
		body: c.Body, timeout: c.Timeout, lastEventID: c.LastEventID, resumes: c.Resumes, prompt: c.Prompt, credential: c.Credential,
	}
}

// ID returns the id of this attempt of the client.
func (r Request) ID() string { return r.id }

// Host returns the requested host, without a port.
func (r Request) Host() string { return r.host }

// Method returns the HTTP method.
func (r Request) Method() string { return r.method }

// Path returns the path without its query.
func (r Request) Path() string { return r.path }

// Target returns the path and query as the client sent them.
func (r Request) Target() string { return r.target }

// Header returns the headers to forward; they must not be changed.
func (r Request) Header() http.Header { return r.header }

// Body returns the complete body.
func (r Request) Body() Body { return r.body }

// Timeout returns how long the client waits, counted from the arrival, zero if it does
// not say.
func (r Request) Timeout() Millis { return r.timeout }

// LastEventID returns the number of the last event that the client has received, zero for
// none.
func (r Request) LastEventID() int64 { return r.lastEventID }

// StreamID returns the ID of the attempt that began the stream: that of this attempt unless the client
// takes a stream up and says which.
func (r Request) StreamID() string {
	if r.lastEventID > 0 && r.resumes != "" {
		return r.resumes
	}
	return r.id
}

// NamesStream reports whether the client says which attempt began the stream that it takes up.
func (r Request) NamesStream() bool { return r.resumes != "" }

// Prompt returns the description of the prompt.
func (r Request) Prompt() Prompt { return r.prompt }

// Credential returns the credential that identifies the client.
func (r Request) Credential() Credential { return r.credential }

// Account returns the name of the account that the request belongs to, empty for none.
// It is sent to the workers.
func (r Request) Account() string { return r.account }

// WithBody returns a copy of the request with this body.
func (r Request) WithBody(body Body) Request {
	r.body = body
	return r
}

// WithAccount returns a copy of the request that belongs to this account.
func (r Request) WithAccount(name string) Request {
	r.account = name
	return r
}

// Worker identifies one incarnation of a target that is called directly. A call that
// reaches another incarnation is refused there and does not run.
type Worker struct {
	id      string
	address string
	version string
}

// NewWorker returns the worker with this id at IP:port.
func NewWorker(id, address string) Worker { return Worker{id: id, address: address} }

// WithVersion returns a copy of the worker that runs this version of its software, empty if it is
// unknown.
func (w Worker) WithVersion(version string) Worker {
	w.version = version
	return w
}

// Version returns the version of the worker's software, empty if it is unknown. What two versions
// write does not fit together; an unknown version is equal to none.
func (w Worker) Version() string { return w.version }

// ID returns the worker's id.
func (w Worker) ID() string { return w.id }

// Address returns IP:port.
func (w Worker) Address() string { return w.address }

// KVCacheRef refers to a prompt's KV cache that an engine holds for a single use.
type KVCacheRef struct {
	engine string
	handle string
}

// NewKVCacheRef returns the cache that the engine at an address holds under handle.
func NewKVCacheRef(address, handle string) KVCacheRef {
	return KVCacheRef{engine: address, handle: handle}
}

// Engine returns IP:port of the engine that holds the cache.
func (k KVCacheRef) Engine() string { return k.engine }

// Handle returns the engine's handle of the cache; empty means no cache.
func (k KVCacheRef) Handle() string { return k.handle }

// AttemptOptions holds the parameters of one attempt at a worker.
type AttemptOptions struct {
	// Timeout is the time that the worker may take.
	Timeout Millis
	// LastEventID is the number of the last event that the client has received.
	LastEventID int64
	// Priority is the priority of the work at an engine, 0 first, 9 last.
	Priority int
	// Cache is the prompt's KV cache to import, zero for none.
	Cache KVCacheRef
	// OnSend is called once there is a connection, just before the request is sent on it; nil
	// for none. It must not block, and is not called after the call of the worker has returned.
	OnSend func()
	// Withdrawn is asked once a new connection to the worker has been made; if it returns true,
	// the request is not sent there. Nil for never. It must not block.
	Withdrawn func() bool
}

// Framing is how a response marks the end of its body.
type Framing string

// Framings of responses.
const (
	// FramingLength: the header holds the length.
	FramingLength Framing = "length"
	// FramingChunks: the body comes in chunks, the last of which is empty.
	FramingChunks Framing = "chunks"
	// FramingConnection: the body ends with its connection. It looks the same as one whose sender
	// stopped early and closed the connection without a reset.
	FramingConnection Framing = "connection"
)

// WorkerResponse is a worker's response to an attempt.
type WorkerResponse struct {
	status       int
	header       http.Header
	length       int64
	framing      Framing
	body         io.ReadCloser
	refused      bool
	load         WorkerLoad
	limit        RateLimit
	shuttingDown bool
	backoff      Millis
}

// WorkerResponseConfig configures a [WorkerResponse].
type WorkerResponseConfig struct {
	Status int
	// Header holds the headers to forward to the client.
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64
	// Framing says how the end of the body is marked.
	Framing Framing
	// Body must be closed; closing it early cancels the worker's work.
	Body io.ReadCloser
	// Refused says that the worker did not run the attempt and will not run it.
	Refused bool
	// Load is the load reported by the worker, if any.
	Load WorkerLoad
	// Limit is the request rate that the worker reports to accept.
	Limit RateLimit
	// ShuttingDown says that the worker is shutting down.
	ShuttingDown bool
	// Backoff is the backoff that the worker requests from this gateway.
	Backoff Millis
}

// NewWorkerResponse returns the response that c describes.
func NewWorkerResponse(c WorkerResponseConfig) WorkerResponse {
	return WorkerResponse{
		status: c.Status, header: c.Header, length: c.Length, framing: c.Framing, body: c.Body, refused: c.Refused, load: c.Load, limit: c.Limit,
		shuttingDown: c.ShuttingDown, backoff: c.Backoff,
	}
}

// Status returns the HTTP status.
func (r WorkerResponse) Status() int { return r.status }

// Header returns the headers to forward to the client.
func (r WorkerResponse) Header() http.Header { return r.header }

// Length returns the length of the body, -1 if unknown.
func (r WorkerResponse) Length() int64 { return r.length }

// WithoutLength returns the response with an unknown length.
func (r WorkerResponse) WithoutLength() WorkerResponse {
	r.length = -1
	return r
}

// Framing returns how the end of the body is marked.
func (r WorkerResponse) Framing() Framing { return r.framing }

// Body returns the body, to be read once and closed.
func (r WorkerResponse) Body() io.ReadCloser { return r.body }

// Refused reports that the attempt did not run and will not run.
func (r WorkerResponse) Refused() bool { return r.refused }

// Load returns the load reported by the worker.
func (r WorkerResponse) Load() WorkerLoad { return r.load }

// Limit returns the request rate that the worker reports to accept.
func (r WorkerResponse) Limit() RateLimit { return r.limit }

// EngineState is the state that an engine reports on request.
type EngineState struct {
	// Role is the current role.
	Role Role
	// Reconfiguring says that an order is being carried out.
	Reconfiguring bool
	// Orders counts the orders accepted since the engine started.
	Orders int64
	// Load is some hundred milliseconds old.
	Load WorkerLoad
}

// RoleOrder is an order to an engine to change its role.
type RoleOrder struct {
	// Role is the new role.
	Role Role
	// Holder is the machine that gives the order.
	Holder string
	// FencingToken is the fencing token of its lease.
	FencingToken int64
	// ExpectedOrders is the expected number of orders that the engine has accepted; with another
	// number the engine refuses.
	ExpectedOrders int64
}

// WorkerClient sends attempts and orders to targets that are called directly. An error says
// through [ExecutionOf] whether the target may have run the attempt.
type WorkerClient interface {
	// Run makes one attempt at a worker; the request leaves this process at most once.
	Run(ctx context.Context, w Worker, r Request, s AttemptOptions) (WorkerResponse, error)
	// Prefill makes an engine process the prompt and hold its KV cache. A response with
	// status 200 has no body.
	Prefill(ctx context.Context, w Worker, r Request, s AttemptOptions) (KVCacheRef, WorkerResponse, error)
	// ReleaseCache releases a KV cache that will not be used.
	ReleaseCache(ctx context.Context, k KVCacheRef) error
	// MoveStream copies the KV cache of the stream that runs for r at one engine to
	// another, and ends the stream at the first, whose response breaks off. The stream
	// can continue with the returned cache after the last event received. An error
	// marked [ErrNotFound] says that the stream does not run there any more. One marked
	// [ErrNoRoom] says that the other engine has no room for it: the stream has ended, and
	// can only continue at the first engine, with the returned cache.
	MoveStream(ctx context.Context, from Worker, r Request, to Worker) (KVCacheRef, error)
	// State requests the state of an engine.
	State(ctx context.Context, w Worker) (EngineState, error)
	// Life asks whether the incarnation of a worker still runs. healthPath is the path of its health
	// check, empty for an engine; startedAt is zero if it is not known.
	Life(ctx context.Context, w Worker, healthPath string, startedAt int64) WorkerLife
	// Order sends an order to an engine and reports whether it was accepted, now or
	// before.
	Order(ctx context.Context, w Worker, o RoleOrder) (bool, error)
}

// LeaderLease identifies the holder of a lease that acts on behalf of all gateways.
type LeaderLease struct {
	// Holder is the machine, FencingToken the fencing token of its lease.
	Holder       string
	FencingToken int64
}

// LeaderActions are the platform calls that one gateway at a time makes on behalf of all.
type LeaderActions interface {
	// Scale sets the number of workers of a service in a data centre.
	Scale(ctx context.Context, d LeaderLease, service, zone string, workers int) error
	// ReportUsage reports the number of requests of each account that began in a
	// window. An error marked [ErrDenied] says that this report will never be accepted.
	// Sending the same report again has no effect.
	ReportUsage(ctx context.Context, d LeaderLease, window int64, counts map[string]int64) error
}

// ChangeFeed is the change feed of the platform's store.
type ChangeFeed interface {
	// Snapshot returns all rows of a table and the version from which to follow it.
	Snapshot(ctx context.Context, table string) ([]Row, int64, error)
	// Changes returns the rows changed after a version, removed ones without a value,
	// and the version from which to continue. It waits for at most wait. An error
	// marked [ErrNotFound] means that the history is no longer available: take a
	// snapshot.
	Changes(ctx context.Context, table string, after int64, wait Millis) ([]Row, int64, error)
	// Era returns how often the store was restored from an older copy, below zero while
	// unknown.
	Era() int64
}

// RowDecoder decodes the rows that the operator and the workers write to the platform's
// store.
type RowDecoder interface {
	// DecodeConfig decodes the operator's config.
	DecodeConfig(value []byte) (OperatorConfig, error)
	// DecodeMember decodes a worker's row. A row that was corrupted by another writer is an
	// error and identifies no worker.
	DecodeMember(row Row) (Member, error)
}

// Ingress is the protocol between clients and the gateway.
type Ingress interface {
	// Decode decodes a request without its body.
	Decode(r *http.Request) (Request, error)
	// WriteHeader writes the status and headers of a worker's response.
	WriteHeader(w http.ResponseWriter, response WorkerResponse)
	// WriteError writes a final response that the gateway generates itself.
	WriteError(w http.ResponseWriter, r Request, f *Failure)
	// PeerHeader returns the headers of a client's request from which a peer gateway
	// decodes the same request.
	PeerHeader(r *http.Request) http.Header
}
