package engine

import (
	"net/http"
	"slices"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// State is how far an engine is with its last order.
type State string

// The states of an engine.
const (
	// StateSettled: the last order is in force.
	StateSettled State = "settled"
	// StateChanging: an order is being carried out and work is refused.
	StateChanging State = "changing"
	// StateUnknown: the engine crashed in mid order; another must settle it.
	StateUnknown State = "unknown"
)

// Verb is what an order asks for.
type Verb string

// The verbs of orders.
const (
	VerbRole    Verb = "role"
	VerbLoad    Verb = "load"
	VerbAdapter Verb = "adapter"
	VerbVersion Verb = "version"
)

// Verdict is what became of an order when it arrived.
type Verdict string

// The verdicts on orders.
const (
	VerdictAccepted Verdict = "accepted"
	VerdictRepeated Verdict = "repeated"
	// VerdictStale: its fencing number was below the highest seen.
	VerdictStale Verdict = "stale"
	// VerdictBusy: another order was in progress.
	VerdictBusy Verdict = "busy"
)

// maxOrders bounds the orders that are kept for an oracle.
const maxOrders = 4096

// order is an order as it arrived.
type order struct {
	id       string
	fence    int64
	verb     Verb
	argument string
	// highest is the highest fencing number that had arrived before it.
	highest int64
	verdict Verdict
	// cut is how many requests in hand it cut short.
	cut int
}

// orders is what an engine knows of its orders.
type orders struct {
	state    State
	role     kumquatlug.Role
	version  string
	id       string
	fence    int64
	current  order
	started  kumquatlug.Millis
	crashing bool
	log      []order
}

// restart is what a crash leaves: the role from the settings, and no memory of
// fencing numbers. Only an order that was in progress leaves its mark.
func (o *orders) restart(role kumquatlug.Role) {
	if o.state == StateChanging {
		o.state = StateUnknown
	}
	o.role, o.fence, o.version = role, 0, ""
	if o.state == StateUnknown {
		o.role = ""
	}
}

// judge decides about an order that arrives, and notes it.
func (o *orders) judge(given order, checks bool) Verdict {
	given.highest = o.fence
	switch {
	case given.id == o.id && o.id != "" && o.state != StateUnknown:
		given.verdict = VerdictRepeated
	case checks && given.fence != 0 && given.fence < o.fence:
		given.verdict = VerdictStale
	case o.state == StateChanging:
		given.verdict = VerdictBusy
	default:
		given.verdict = VerdictAccepted
	}
	o.fence = max(o.fence, given.fence)
	o.log = append(o.log, given)
	if len(o.log) > maxOrders {
		o.log = o.log[1:]
	}
	return given.verdict
}

// begin starts an accepted order. Work in hand is cut: whoever gives an order
// must have drained the engine before.
func (e *Engine) begin(given order, now kumquatlug.Millis) {
	e.orders.id = given.id
	e.orders.current = given
	e.orders.state = StateChanging
	e.orders.started = now
	e.orders.log[len(e.orders.log)-1].cut = e.cutAll()
	e.advance(now)
}

// advance brings the engine's orders up to now: a crash that was armed happens
// half way through an order, and an order settles when its time has passed.
func (e *Engine) advance(now kumquatlug.Millis) {
	if e.orders.state != StateChanging {
		return
	}
	span := e.scaled(e.config.OrderTime)
	half := e.orders.started + span/2
	if e.orders.crashing && now >= half {
		e.orders.crashing = false
		e.crash(half)
		return
	}
	if now >= e.orders.started+span {
		e.settle()
	}
}

func (e *Engine) settle() {
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

func (e *Engine) giveOrder(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID       string `json:"id"`
		Fence    int64  `json:"fence"`
		Verb     Verb   `json:"verb"`
		Argument string `json:"argument"`
	}
	if !read(w, r, &body) {
		return
	}
	given := order{id: body.ID, fence: body.Fence, verb: body.Verb, argument: body.Argument}
	if reason := given.invalid(); reason != "" {
		refuse(w, http.StatusBadRequest, "invalid_order", reason)
		return
	}
	e.mu.Lock()
	verdict := e.orders.judge(given, e.config.ChecksFence)
	if verdict == VerdictAccepted {
		e.begin(given, e.clock.Now())
	}
	e.mu.Unlock()
	if e.down() {
		panic(http.ErrAbortHandler)
	}
	switch verdict {
	case VerdictStale:
		refuse(w, http.StatusConflict, "stale_fence", "the fencing number is below the highest seen")
	case VerdictBusy:
		refuse(w, http.StatusConflict, "order_in_progress", "another order is in progress")
	default:
		e.state(w, r)
	}
}

func (o order) invalid() string {
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

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	o := e.orders
	e.mu.Unlock()
	standin.Reply(w, http.StatusOK, struct {
		State   State           `json:"state"`
		Role    kumquatlug.Role `json:"role"`
		OrderID string          `json:"order_id"`
		Fence   int64           `json:"fence"`
		Version string          `json:"version,omitempty"`
	}{o.state, o.role, o.id, o.fence, o.version})
}

// listOrders gives an oracle the orders that arrived, oldest first.
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
		body.Orders = append(body.Orders, orderBody{o.id, o.fence, o.verb, o.argument, o.highest, o.verdict, o.cut})
	}
	standin.Reply(w, http.StatusOK, body)
}

func (e *Engine) crashNow(w http.ResponseWriter, r *http.Request) {
	var body struct {
		InOrder bool `json:"in_order"`
	}
	if r.ContentLength != 0 && !read(w, r, &body) {
		return
	}
	if body.InOrder {
		e.CrashInOrder()
	} else {
		e.Crash()
	}
	standin.Reply(w, http.StatusOK, struct{}{})
}
