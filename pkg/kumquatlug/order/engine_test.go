package order

// step executes the gate's next request to the engine or the table. A late response
// carries the state at the time it was sent.
func (w *world) step(fails, late bool) {
	defer w.checkFinished()
	gate, s := w.gate, w.gate.Next(w.now)
	var answer, failure func()
	switch s.Action() {
	case StepReadState:
		state := NewState(w.engine.changing == nil && !w.engine.reloading, Property{VerbRole, w.engine.role}, Property{VerbAdapter, "none"})
		answer = func() { gate.StateRead(s, state) }
		failure = func() { gate.StateReadFailed(s) }
	case StepReadFencingToken:
		token := w.leaseToken
		answer = func() { gate.FencingTokenRead(s, token) }
		failure = func() { gate.FencingTokenReadFailed(s) }
	case StepRun:
		w.checkFinished()
		w.startOrder(s)
		return
	default:
		return
	}
	switch {
	case fails:
		failure()
	case late:
		w.messages = append(w.messages, message{deliver: answer, onLoss: failure})
	default:
		answer()
	}
}

// startOrder delivers an order to the engine and checks the invariants.
func (w *world) startOrder(s Step) {
	o := s.Order()
	id := o.ID()
	if w.engine.changing != nil {
		w.fail("order %s reached the engine during %s", id, w.engine.changing.ID())
	}
	if w.engine.reloading && !w.crashUnnoticed {
		w.fail("order %s reached an engine that was still restarting", id)
	}
	if lost, gone := w.leaseLostAt[id.FencingToken()]; gone && w.now-lost > defaultMaxTokenAge {
		w.fail("order %s ran %d ms after its sender lost the lease", id, w.now-lost)
	}
	if w.ran[id] {
		w.fail("order %s ran twice", id)
	}
	if id.FencingToken() < w.lastRan.FencingToken() || (id.Incarnation() == w.lastRan.Incarnation() && !id.after(w.lastRan)) {
		w.fail("order %s ran after %s", id, w.lastRan)
	}
	if id.Incarnation() != w.incarnation {
		w.fail("order %s ran at incarnation %d", id, w.incarnation)
	}
	if o.Verb().TakesOffline() && w.engine.calls > 0 {
		w.fail("order %s interrupted %d calls", id, w.engine.calls)
	}
	w.ran[id], w.lastRan = true, id
	w.engine.changing, w.runningStep = &o, &s
}

func (w *world) beginCall() {
	if !w.gate.BeginCall() {
		return
	}
	if w.engine.changing != nil && w.engine.changing.Verb().TakesOffline() {
		w.fail("a call started during %s", w.engine.changing.ID())
	}
	if w.engine.reloading && !w.crashUnnoticed {
		w.fail("a call started at an engine that was still restarting")
	}
	w.engine.calls++
}

func (w *world) endCall() {
	if w.engine.calls > 0 {
		w.engine.calls--
		w.gate.EndCall()
	}
}

// finishChange completes the engine's change; the response may be delayed.
func (w *world) finishChange(late bool) {
	w.engine.reloading = false
	if w.engine.changing == nil {
		return
	}
	if w.engine.changing.Verb() == VerbRole {
		w.engine.role = w.engine.changing.Argument()
	}
	w.engine.changing = nil
	if w.runningStep == nil {
		return
	}
	gate, s := w.gate, *w.runningStep
	w.runningStep = nil
	if late {
		w.messages = append(w.messages, message{
			deliver: func() { gate.RunFinished(s, OutcomeApplied) },
			onLoss:  func() { gate.RunFinished(s, OutcomeUnknown) },
		})
		return
	}
	gate.RunFinished(s, OutcomeApplied)
}

// crash stops the engine and all its calls. The engine restarts at once or after a
// while, with the old role or, if it crashed during a change, possibly the new one.
// The agent detects the crash later.
func (w *world) crash(changed, reloads bool) {
	if o := w.engine.changing; o != nil && changed && o.Verb() == VerbRole {
		w.engine.role = o.Argument()
	}
	w.engine.changing, w.engine.reloading = nil, reloads
	for w.engine.calls > 0 {
		w.endCall()
	}
	w.crashUnnoticed = true
}

func (w *world) noticeCrash() {
	if w.crashUnnoticed {
		w.gate.Crashed()
		w.crashUnnoticed, w.runningStep = false, nil
	}
}

// restartAgent starts a new incarnation of the agent. It has no state, and the calls
// that went through the previous one have ended.
func (w *world) restartAgent() {
	w.incarnation++
	w.gate = NewGate(GateConfig{Incarnation: w.incarnation})
	w.engine.calls, w.runningStep, w.crashUnnoticed = 0, nil, false
}
