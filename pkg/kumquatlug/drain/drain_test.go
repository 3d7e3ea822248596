package drain

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// newServingDrain returns a drain with a config of revision 1.
func newServingDrain(c Config) *Drain {
	d := New(c)
	d.SetLeavingLabel(1, false, 0)
	return d
}

func TestPlannedStopOfGateway(t *testing.T) {
	// A gateway is stopped while a response streams and the load balancer still
	// sends callers to it. Callers that arrive before the balancer removes it must
	// be served, and the stream must not be broken off although it runs for an hour.
	d := newServingDrain(Config{RefuseDelay: GatewayRefuseDelay, RetryAfter: kumquatlug.Second})
	stream := NewRequest(1, false)
	if a := d.Begin(stream, 0); !a.Accepted() {
		t.Fatal(a.Reason())
	}
	d.Stop(100)
	steps := []struct {
		now    kumquatlug.Millis
		state  State
		accept bool
	}{
		{100, StateUnready, true},
		{100 + GatewayRefuseDelay - 1, StateUnready, true},
		{100 + GatewayRefuseDelay, StateRefusing, false},
		{kumquatlug.Hour, StateRefusing, false},
	}
	for _, s := range steps {
		if got := d.State(s.now); got != s.state {
			t.Errorf("at %d ms: state %q, want %q", s.now, got, s.state)
		}
		a := d.Begin(stream, s.now)
		if a.Accepted() != s.accept {
			t.Errorf("at %d ms: accepted %v", s.now, a.Accepted())
		}
		if f := kumquatlug.FailureOf(a.Failure()); !s.accept && (f.Execution() != kumquatlug.NotExecuted || f.RetryAfter() != kumquatlug.Second) {
			t.Errorf("at %d ms: refused with %v, want not-run and a retry after 1 s", s.now, f)
		}
	}
	for range 3 {
		if err := d.End(); err != nil {
			t.Fatal(err)
		}
	}
	if got := d.State(kumquatlug.Hour); got != StateDone {
		t.Errorf("with nothing in flight: state %q, want done", got)
	}
	if err := d.End(); err == nil {
		t.Error("End with nothing in flight returned no error")
	}
}

func TestLeavingSources(t *testing.T) {
	// A target is leaving, but only one source says so, or a lagging source
	// reports the old state again. A gateway that doesn't know it keeps sending
	// requests, which must be refused.
	label := func(revision int64, leaving bool) func(*Drain) {
		return func(d *Drain) { d.SetLeavingLabel(revision, leaving, 1) }
	}
	list := func(s kumquatlug.VMState, now kumquatlug.Millis) func(*Drain) {
		return func(d *Drain) { d.SetVMState(s, now) }
	}
	live, leaving := kumquatlug.VMLive, kumquatlug.VMLeaving
	cases := map[string]struct {
		events []func(*Drain)
		want   Reason
	}{
		"label alone":             {[]func(*Drain){label(2, true), list(live, 1)}, ReasonLeavingByLabel},
		"list alone":              {[]func(*Drain){list(leaving, 1)}, ReasonLeavingByVMList},
		"lower revision":          {[]func(*Drain){label(3, true), label(2, false)}, ReasonLeavingByLabel},
		"label removed":           {[]func(*Drain){label(2, true), label(3, false)}, ""},
		"outdated list":           {[]func(*Drain){list(leaving, 1), list(live, 2), list(live, 100)}, ReasonLeavingByVMList},
		"list settles":            {[]func(*Drain){list(leaving, 1), list(live, 2), list(live, 2+DefaultSettleTime)}, ""},
		"list flaps":              {[]func(*Drain){list(live, 2), list(leaving, 3), list(live, 4), list(leaving, 5), list(live, 4+DefaultSettleTime)}, ReasonLeavingByVMList},
		"order":                   {[]func(*Drain){func(d *Drain) { d.SetUnderOrder(true, 1) }}, ReasonUnderOrder},
		"order done, label stays": {[]func(*Drain){label(2, true), func(d *Drain) { d.SetUnderOrder(true, 1); d.SetUnderOrder(false, 2) }}, ReasonLeavingByLabel},
		"stop":                    {[]func(*Drain){func(d *Drain) { d.Stop(1) }, label(2, false)}, ReasonStopping},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newServingDrain(Config{})
			for _, event := range c.events {
				event(d)
			}
			a := d.Begin(NewRequest(1, false), kumquatlug.Hour)
			if a.Reason() != c.want {
				t.Errorf("reason %q, want %q", a.Reason(), c.want)
			}
		})
	}
}

func TestReceiverConfigDecides(t *testing.T) {
	// An agent has just started, or has an older config than the gateway that sends
	// to it. Requests that are accepted before it has the newer config could reach
	// a leaving target.
	d := New(Config{})
	if a := d.Begin(NewRequest(7, false), 0); a.Reason() != ReasonConfigUnknown || !a.ReceiverBehind() {
		t.Errorf("before the first config: %q, behind %v", a.Reason(), a.ReceiverBehind())
	}
	d.SetLeavingLabel(7, false, 0)
	if a := d.Begin(NewRequest(8, true), 0); a.Reason() != ReasonForbiddenByConfig || !a.ReceiverBehind() {
		t.Errorf("forbidden by an older config than the sender's: %q, behind %v", a.Reason(), a.ReceiverBehind())
	}
	if a := d.Begin(NewRequest(6, false), 0); !a.Accepted() || a.ReceiverBehind() {
		t.Errorf("gateway with an older config: %q, behind %v", a.Reason(), a.ReceiverBehind())
	}
}

func ExampleDrain() {
	d := New(Config{})
	d.SetLeavingLabel(1, false, 0)
	d.Begin(NewRequest(1, false), 0)
	d.SetLeavingLabel(2, true, 10)
	fmt.Println(d.Begin(NewRequest(1, false), 11).Reason(), d.State(11))
	_ = d.End()
	fmt.Println(d.State(12))
	// Output:
	// leaving_by_label refusing
	// done
}
