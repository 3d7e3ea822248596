package kumquatlug

import (
	"io"
	"net/http"
)

// Protocol is the protocol of a target.
type Protocol string

// The protocols of targets.
const (
	// ProtocolEngine is a language-model engine with an OpenAI-compatible API.
	ProtocolEngine Protocol = "engine"
	// ProtocolService is a plain HTTP service.
	ProtocolService Protocol = "service"
)

// Role is the part of the work that a target does.
type Role string

// The roles that a selector may assign.
const (
	// RoleBoth runs prompts and generates output at one target.
	RoleBoth Role = "both"
	// RolePrefill runs prompts and exports the KV cache.
	RolePrefill Role = "prefill"
	// RoleDecode imports the KV cache and generates output.
	RoleDecode Role = "decode"
	// RoleServe serves calls of a plain service.
	RoleServe Role = "serve"
)

// Kind names a kind of work: a model, or a plain service.
type Kind struct {
	protocol Protocol
	name     string
}

// NewKind returns the kind of work with this protocol and name.
func NewKind(protocol Protocol, name string) Kind {
	return Kind{protocol: protocol, name: name}
}

// Protocol returns the protocol of the targets of this kind.
func (k Kind) Protocol() Protocol { return k.protocol }

// Name returns the model's or service's name.
func (k Kind) Name() string { return k.name }

// String returns the kind as "engine/name" or "service/name".
func (k Kind) String() string { return string(k.protocol) + "/" + k.name }

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole is the kind of process that runs on a VM.
type VMRole string

// The roles of VMs: VMGateway runs a gateway, VMTarget a target with its agent.
const (
	VMGateway VMRole = "entry"
	VMTarget  VMRole = "target"
)

// VM is one entry of the platform's list.
type VM struct {
	name    string
	role    VMRole
	address string
	zone    string
	state   VMState
}

// VMConfig configures a [VM].
type VMConfig struct {
	Name string
	Role VMRole
	// Address is IP:port at which peers reach this system's process on the VM.
	Address string
	// Zone is the VM's data centre.
	Zone  string
	State VMState
}

// NewVM returns the VM that c describes.
func NewVM(c VMConfig) VM {
	return VM{name: c.Name, role: c.Role, address: c.Address, zone: c.Zone, state: c.State}
}

// Name returns the VM's name, which is also its target's.
func (v VM) Name() string { return v.name }

// Role returns the kind of process that runs on the VM.
func (v VM) Role() VMRole { return v.role }

// Address returns IP:port at which peers reach this system's process on the VM.
func (v VM) Address() string { return v.address }

// Zone returns the VM's data centre.
func (v VM) Zone() string { return v.zone }

// State returns whether the VM is live or leaving.
func (v VM) State() VMState { return v.state }

// Call is one call to a target, as made by the process beside the target.
type Call struct {
	method string
	path   string
	header http.Header
	body   io.Reader
}

// NewCall returns a call; path is the target's own path, query included.
func NewCall(method, path string, header http.Header, body io.Reader) Call {
	return Call{method: method, path: path, header: header, body: body}
}

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// Path returns the target's own path, query included.
func (c Call) Path() string { return c.path }

// Header returns the headers for the target.
func (c Call) Header() http.Header { return c.header }

// Body returns the body to send, nil for none.
func (c Call) Body() io.Reader { return c.body }

// TargetResponse is a target's response.
type TargetResponse struct {
	status  int
	header  http.Header
	body    io.ReadCloser
	framing Framing
}

// NewTargetResponse returns a response whose body the receiver closes.
func NewTargetResponse(status int, header http.Header, body io.ReadCloser) TargetResponse {
	return TargetResponse{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (r TargetResponse) Status() int { return r.status }

// Header returns the target's headers.
func (r TargetResponse) Header() http.Header { return r.header }

// WithFraming returns the response with how the end of its body is marked.
func (r TargetResponse) WithFraming(f Framing) TargetResponse {
	r.framing = f
	return r
}

// Framing returns how the end of the body is marked, empty if unknown.
func (r TargetResponse) Framing() Framing { return r.framing }

// Body returns the body, to be read once and closed.
func (r TargetResponse) Body() io.ReadCloser { return r.body }
