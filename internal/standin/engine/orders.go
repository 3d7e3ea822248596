package engine

import (
	"net/http"
	"slices"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// State is the progress of an engine with its last order.
type State string

// Progress of an engine with its last order.
const (
	// StateSettled: the last order is in effect.
	StateSettled State = "settled"
	// StateChanging: an order is being executed and requests are rejected.
	StateChanging State = "changing"
	// StateUnknown: the engine crashed while it executed an order; only another
	// order leads out of this state.
	StateUnknown State = "unknown"
)

// Verb is the operation of an order.
type Verb string

// Operations of orders.
const (
	VerbRole    Verb = "role"
	VerbLoad    Verb = "load"
	VerbAdapter Verb = "adapter"
	VerbVersion Verb = "version"
)

// Verdict is the result of an order on arrival.
type Verdict string

// Results of an order on arrival.
const (
	VerdictAccepted Verdict = "accepted"
	VerdictRepeated Verdict = "repeated"
	// VerdictStale: the fencing token was below the highest seen.
	VerdictStale Verdict = "stale"
	// VerdictBusy: another order was in progress.
	VerdictBusy Verdict = "busy"
)

// maxLoggedOrders limits the log of orders, which tests read.
const maxLoggedOrders = 4096

// order is a received order.
type order struct {
	id       string
	fence    int64
	verb     Verb
	argument string
	// highestBefore is the highest fencing token received before it.
	highestBefore int64
	verdict       Verdict
	// aborted is the number of requests in flight that it aborted.
	aborted int
}

// orderState is the state of an engine with regard to orders.
type orderState struct {
	state        State
	role         kumquatlug.Role
	version      string
	lastID       string
	highestFence int64
	current      order
	started      kumquatlug.Millis
	crashPending bool
	log          []order
}

// restart sets the state after a crash: the configured role and no memory of
// fencing tokens. An order that was in progress leaves the state unknown,
// without a role.
func (o *orderState) restart(role kumquatlug.Role) {
	if o.state == StateChanging {
		o.state = StateUnknown
	}
	o.role, o.highestFence, o.version = role, 0, ""
	if o.state == StateUnknown {
		o.role = ""
	}
}

// record determines the verdict on a received order and logs the order. An
// order with an old fencing token is rejected only if checkFence is set.
func (o *orderState) record(received order, checkFence bool) Verdict {
	received.highestBefore = o.highestFence
	switch {
	case received.id == o.lastID && o.lastID != "" && o.state != StateUnknown:
		received.verdict = VerdictRepeated
	case checkFence && received.fence != 0 && received.fence < o.highestFence:
		received.verdict = VerdictStale
	case o.state == StateChanging:
		received.verdict = VerdictBusy
	default:
		received.verdict = VerdictAccepted
	}
	o.highestFence = max(o.highestFence, received.fence)
	o.log = append(o.log, received)
	if len(o.log) > maxLoggedOrders {
		o.log = o.log[1:]
	}
	return received.verdict
}

// startOrder starts an accepted order. Requests in flight are aborted: the
// sender of an order must have drained the engine before.
func (e *Engine) startOrder(accepted order, now kumquatlug.Millis) {
	e.orders.lastID = accepted.id
	e.orders.current = accepted
	e.orders.state = StateChanging
	e.orders.started = now
	e.orders.log[len(e.orders.log)-1].aborted = e.abortAll()
	e.advance(now)
}

// advance brings the order in progress up to now: a pending crash happens
// halfway through an order, and an order completes once its duration has
// passed.
func (e *Engine) advance(now kumquatlug.Millis) {
	if e.orders.state != StateChanging {
		return
	}
	duration := e.scaled(e.config.OrderTime)
	midpoint := e.orders.started + duration/2
	if e.orders.crashPending && now >= midpoint {
		e.orders.crashPending = false
		e.crash(midpoint)
		return
	}
	if now >= e.orders.started+duration {
		e.completeOrder()
	}
}

func (e *Engine) completeOrder() {
	e.orders.state = StateSettled
	argument := e.orders.current.argument
	switch e.orders.current.verb {
	case VerbRole:
		e.orders.role = kumquatlug.Role(argument)
	case VerbVersion:
		e.orders.version = argument
	default:
		if !slices.Contains(e.models, argument) {
			e.models = append(e.models, argument)
		}
	}
	if e.orders.role == "" {
		e.orders.role = e.config.Role
	}
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID       string `json:"id"`
		Fence    int64  `json:"fence"`
		Verb     Verb   `json:"verb"`
		Argument string `json:"argument"`
	}
	if !decodeBody(w, r, &body) {
		return
	}
	received := order{id: body.ID, fence: body.Fence, verb: body.Verb, argument: body.Argument}
	if reason := received.invalidReason(); reason != "" {
		writeError(w, http.StatusBadRequest, "invalid_order", reason)
		return
	}
	e.mu.Lock()
	verdict := e.orders.record(received, e.config.CheckFence)
	if verdict == VerdictAccepted {
		e.startOrder(received, e.clock.Now())
	}
	e.mu.Unlock()
	if e.down() {
		panic(http.ErrAbortHandler)
	}
	switch verdict {
	case VerdictStale:
		writeError(w, http.StatusConflict, "stale_fence", "the fencing number is below the highest seen")
	case VerdictBusy:
		writeError(w, http.StatusConflict, "order_in_progress", "another order is in progress")
	default:
		e.reportState(w, r)
	}
}

func (o order) invalidReason() string {
	switch o.verb {
	case VerbLoad, VerbAdapter, VerbVersion:
	case VerbRole:
		roles := []kumquatlug.Role{kumquatlug.RoleBoth, kumquatlug.RolePrefill, kumquatlug.RoleDecode}
		if !slices.Contains(roles, kumquatlug.Role(o.argument)) {
			return "the role is not both, prefill or decode"
		}
	default:
		return "the verb is not role, load, adapter or version"
	}
	if o.id == "" || o.argument == "" {
		return "an order needs an id and an argument"
	}
	return ""
}

func (e *Engine) reportState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	o := e.orders
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, struct {
		State   State           `json:"state"`
		Role    kumquatlug.Role `json:"role"`
		OrderID string          `json:"order_id"`
		Fence   int64           `json:"fence"`
		Version string          `json:"version,omitempty"`
	}{o.state, o.role, o.lastID, o.highestFence, o.version})
}

// listOrders writes the received orders, oldest first, for tests to check.
func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	type orderBody struct {
		ID       string  `json:"id"`
		Fence    int64   `json:"fence"`
		Verb     Verb    `json:"verb"`
		Argument string  `json:"argument"`
		Highest  int64   `json:"highest"`
		Verdict  Verdict `json:"verdict"`
		Cut      int     `json:"cut"`
	}
	body := struct {
		Orders []orderBody `json:"orders"`
	}{Orders: []orderBody{}}
	e.mu.Lock()
	log := slices.Clone(e.orders.log)
	e.mu.Unlock()
	for _, o := range log {
		body.Orders = append(body.Orders, orderBody{o.id, o.fence, o.verb, o.argument, o.highestBefore, o.verdict, o.aborted})
	}
	standin.WriteJSON(w, http.StatusOK, body)
}

func (e *Engine) handleCrash(w http.ResponseWriter, r *http.Request) {
	var body struct {
		InOrder bool `json:"in_order"`
	}
	if r.ContentLength != 0 && !decodeBody(w, r, &body) {
		return
	}
	if body.InOrder {
		e.CrashDuringOrder()
	} else {
		e.Crash()
	}
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}
