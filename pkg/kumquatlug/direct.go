package kumquatlug

import (
	"context"
	"io"
	"net/http"
)

// The types of this file are the seam between a front that calls targets by
// itself, without an agent beside each, and whoever speaks their protocol.

// Part is one part of a prompt. Requests that share their first parts share
// what an engine has cached of them.
type Part struct {
	id     string
	tokens int
}

// NewPart returns the part with this id, which covers so many tokens.
func NewPart(id string, tokens int) Part { return Part{id: id, tokens: tokens} }

// ID returns the part's id.
func (p Part) ID() string { return p.id }

// Tokens returns how many tokens of the prompt the part covers.
func (p Part) Tokens() int { return p.tokens }

// Prompt is what a request says of its prompt and output before it runs.
type Prompt struct {
	parts  []Part
	input  int
	output int
}

// NewPrompt returns a prompt of input tokens in these parts, for which at most
// output tokens are generated.
func NewPrompt(parts []Part, input, output int) Prompt {
	return Prompt{parts: parts, input: input, output: output}
}

// Parts returns the parts in order; the last one belongs to the request alone.
func (p Prompt) Parts() []Part { return p.parts }

// Input returns the length of the prompt in tokens.
func (p Prompt) Input() int { return p.input }

// Output returns the greatest number of tokens to generate.
func (p Prompt) Output() int { return p.output }

// Shared returns the parts that other requests may have in common with it.
func (p Prompt) Shared() []Part {
	if len(p.parts) == 0 {
		return nil
	}
	return p.parts[:len(p.parts)-1]
}

// Ask is one request as a front received it from a client.
type Ask struct {
	id          string
	host        string
	method      string
	path        string
	target      string
	header      http.Header
	body        []byte
	timeout     Millis
	lastEventID int64
	prompt      Prompt
	// credential says whose request it is, account is the account found by it.
	credential Credential
	account    string
}

// AskConfig is what an [Ask] is made of.
type AskConfig struct {
	// ID is unique to this try of the client.
	ID string
	// Host and Path select the route.
	Host, Path string
	// Method and Target, the path with its query, go on as the client wrote them.
	Method, Target string
	// Header holds what is passed on.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Deadline is how long the client waits, counted from the arrival; zero
	// when it does not say.
	Deadline Millis
	// Resume is the number of the last event that the client already has, zero
	// for none.
	Resume int64
	// Prompt describes the work of an engine; zero for plain services.
	Prompt Prompt
	// Credential is what the client gave to say who it is.
	Credential Credential
}

// NewAsk returns the request that c describes.
func NewAsk(c AskConfig) Ask {
	return Ask{
		id: c.ID, host: c.Host, method: c.Method, path: c.Path, target: c.Target, header: c.Header,
		body: c.Body, timeout: c.Deadline, lastEventID: c.Resume, prompt: c.Prompt, credential: c.Credential,
	}
}

// ID returns the id of this try of the client.
func (a Ask) ID() string { return a.id }

// Host returns the host that the client asked, without a port.
func (a Ask) Host() string { return a.host }

// Method returns the HTTP method.
func (a Ask) Method() string { return a.method }

// Path returns the path without its query.
func (a Ask) Path() string { return a.path }

// Target returns the path and query as the client wrote them.
func (a Ask) Target() string { return a.target }

// Header returns the headers to pass on; they must not be changed.
func (a Ask) Header() http.Header { return a.header }

// Body returns the whole body; it must not be changed.
func (a Ask) Body() []byte { return a.body }

// Deadline returns how long the client waits, counted from the arrival, zero
// when it does not say.
func (a Ask) Deadline() Millis { return a.timeout }

// Resume returns the number of the last event that the client has.
func (a Ask) Resume() int64 { return a.lastEventID }

// Prompt returns what the request says of its prompt.
func (a Ask) Prompt() Prompt { return a.prompt }

// Credential returns what the client gave to say who it is.
func (a Ask) Credential() Credential { return a.credential }

// Account returns the name of the account that the request belongs to, empty for
// none. Workers are told it.
func (a Ask) Account() string { return a.account }

// WithAccount returns the request as one of this account.
func (a Ask) WithAccount(name string) Ask {
	a.account = name
	return a
}

// Worker names one incarnation of a target that is called directly. A call
// that reaches another incarnation is refused there and does not run.
type Worker struct {
	id      string
	address string
}

// NewWorker returns the worker with this id at IP:port.
func NewWorker(id, address string) Worker { return Worker{id: id, address: address} }

// ID returns the worker's own name.
func (w Worker) ID() string { return w.id }

// Address returns IP:port.
func (w Worker) Address() string { return w.address }

// KVCache names a prompt's KV cache that an engine keeps for one use.
type KVCache struct {
	engine string
	handle string
}

// NewKVCache returns the cache that the engine at an address keeps under handle.
func NewKVCache(address, handle string) KVCache { return KVCache{engine: address, handle: handle} }

// Engine returns IP:port of the engine that keeps the cache.
func (k KVCache) Engine() string { return k.engine }

// Handle returns the engine's name for the cache; empty means no cache.
func (k KVCache) Handle() string { return k.handle }

// Sending is one attempt to be made at a worker.
type Sending struct {
	// Left is how long the worker may take.
	Left Millis
	// Resume is the number of the last event that the client already has.
	Resume int64
	// Urgency orders the work at an engine, 0 first, 9 last.
	Urgency int
	// Cache is the prompt's KV cache to take over, zero for none.
	Cache KVCache
}

// Reply is a worker's answer to an attempt.
type Reply struct {
	status  int
	header  http.Header
	length  int64
	body    io.ReadCloser
	refused bool
	load    WorkerLoad
	limit   RateLimit
	leaving bool
	pause   Millis
}

// ReplyConfig is what a [Reply] is made of.
type ReplyConfig struct {
	Status int
	// Header holds what goes on to the client.
	Header http.Header
	// Length is the length of the body, -1 when the worker did not say.
	Length int64
	// Body must be closed; closing it early breaks the worker's work off.
	Body io.ReadCloser
	// Refused says that the worker did not run the attempt and will not.
	Refused bool
	// Load is what the worker said of its load, if it did.
	Load WorkerLoad
	// Limit is what it said of the rate of requests that it takes.
	Limit RateLimit
	// Leaving says that the worker is about to end.
	Leaving bool
	// Pause is for how long the worker wants no more requests from this front.
	Pause Millis
}

// NewReply returns the reply that c describes.
func NewReply(c ReplyConfig) Reply {
	return Reply{
		status: c.Status, header: c.Header, length: c.Length, body: c.Body, refused: c.Refused, load: c.Load, limit: c.Limit,
		leaving: c.Leaving, pause: c.Pause,
	}
}

// Status returns the HTTP status.
func (r Reply) Status() int { return r.status }

// Header returns what goes on to the client.
func (r Reply) Header() http.Header { return r.header }

// Length returns the length of the body, -1 when it is not known.
func (r Reply) Length() int64 { return r.length }

// Body returns the body, to be read once and closed.
func (r Reply) Body() io.ReadCloser { return r.body }

// Refused reports that the attempt did not run and will not.
func (r Reply) Refused() bool { return r.refused }

// Load returns what the worker said of its load.
func (r Reply) Load() WorkerLoad { return r.load }

// Limit returns what the worker said of the rate of requests that it takes.
func (r Reply) Limit() RateLimit { return r.limit }

// EngineState is what an engine says of itself when asked.
type EngineState struct {
	// Role is what it does now.
	Role Role
	// Busy says that an order is being carried out.
	Busy bool
	// Orders counts the orders accepted since the engine started.
	Orders int64
	// Load is as of some hundred milliseconds ago.
	Load WorkerLoad
}

// RoleOrder tells an engine to change its role.
type RoleOrder struct {
	// Role is the role to take.
	Role Role
	// Holder names the machine that gives the order.
	Holder string
	// Fence is the fencing number of its lease.
	Fence int64
	// After is the engine's count of orders that the order presumes; with
	// another count the engine refuses.
	After int64
}

// Workers carries attempts and orders to targets that are called directly. An
// error says through [RanOf] whether the target may have run the attempt.
type Workers interface {
	// Run makes one attempt at a worker; it leaves this process at most once.
	Run(ctx context.Context, w Worker, a Ask, s Sending) (Reply, error)
	// Prefill has an engine read the prompt and keep its KV cache. A reply with
	// status 200 carries no body.
	Prefill(ctx context.Context, w Worker, a Ask, s Sending) (KVCache, Reply, error)
	// Free drops a KV cache that nobody will take.
	Free(ctx context.Context, k KVCache) error
	// Move copies the memory of a stream that runs for a at one engine to
	// another, and ends it at the first, whose answer breaks off. The stream
	// goes on with the cache returned behind the last event that came. An error
	// that is marked [ErrNotFound] says that it does not run there any more.
	Move(ctx context.Context, from Worker, a Ask, to Worker) (KVCache, error)
	// State asks an engine about itself.
	State(ctx context.Context, w Worker) (EngineState, error)
	// Order gives an engine an order and reports whether it was accepted or
	// already held.
	Order(ctx context.Context, w Worker, o RoleOrder) (bool, error)
}

// Duty names who does something that one holder may do at a time.
type Duty struct {
	// Holder names the machine, Fence is the fencing number of its lease.
	Holder string
	Fence  int64
}

// Duties takes what one front at a time does for all.
type Duties interface {
	// Scale sets how many workers a service has in a data centre.
	Scale(ctx context.Context, d Duty, service, zone string, workers int) error
	// ReportUsage reports how many requests of each account began in a window. An error
	// that is marked [ErrDenied] says that this report will never be taken. Exact repeats
	// change nothing.
	ReportUsage(ctx context.Context, d Duty, window int64, counts map[string]int64) error
}

// Feed is the part of the platform's store that tells what changed.
type Feed interface {
	// Snapshot returns all rows of a table and the version to follow it from.
	Snapshot(ctx context.Context, table string) ([]Row, int64, error)
	// Changes returns the rows changed after a version, removed ones without a
	// value, and the version to go on from. It waits for at most wait. An error
	// marked [ErrNotFound] means that the history is gone: take a snapshot.
	Changes(ctx context.Context, table string, after int64, wait Millis) ([]Row, int64, error)
	// Era returns how often the store came back from an older copy of itself, below zero
	// until it has told.
	Era() int64
}

// Directory reads the rows that the operator and the workers write in the
// platform's store.
type Directory interface {
	// Config reads the operator's config.
	Config(value []byte) (OperatorConfig, error)
	// Member reads what a worker says of itself. A row that another writer
	// spoiled is an error and names no worker.
	Member(row Row) (Member, error)
}

// Ingress speaks to clients.
type Ingress interface {
	// Decode reads a request with its whole body of at most maxBody bytes.
	Decode(r *http.Request, maxBody int64) (Ask, error)
	// Head writes the status and headers of a worker's reply.
	Head(w http.ResponseWriter, reply Reply)
	// Refuse writes a final answer of our own.
	Refuse(w http.ResponseWriter, a Ask, f *Failure)
}
