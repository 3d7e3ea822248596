package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// draftKind is the kind of work of all requests.
var draftKind = kumquatlug.NewKind(kumquatlug.ProtocolEngine, "draft")

// modelNames are the models of a fleet. Targets are assigned to them round-robin.
var modelNames = []string{"draft", "check", "chat"}

// fleetConfig describes the fleet of a [fleetDispatcher].
type fleetConfig struct {
	targets  int
	gateways int
	// subsetSize is the number of targets of a kind that the gateway connects to; zero
	// means the default.
	subsetSize int
	// singleKind assigns all targets to the first model.
	singleKind bool
	// disaggregated serves each model by separate prefill and decode engines, whose
	// roles a planner may change.
	disaggregated bool
	// concurrency is the initial and maximum concurrency limit of a target; zero means
	// the default.
	concurrency int
}

// gatewaysFor returns the number of gateways of a large fleet with n targets: 2,300
// for 10,000.
func gatewaysFor(n int) int { return n * 23 / 100 }

// fleetDispatcher is a gateway's dispatcher for a simulated fleet, with a manual
// clock.
type fleetDispatcher struct {
	*dispatch.Dispatcher
	now   kumquatlug.Millis
	state config.State
	vms   []kumquatlug.VM
}

func newFleetDispatcher(c fleetConfig) (*fleetDispatcher, error) {
	limits := limit.TargetsConfig{Initial: c.concurrency, Max: c.concurrency, MaxPendingTokens: 1 << 40}
	d := &fleetDispatcher{
		Dispatcher: dispatch.New(dispatch.Config{Gateway: "entry-0000", Zone: zone, Seed: 1, SubsetSize: c.subsetSize, Limits: limits}),
		now:        100_000,
	}
	sets, err := newFleetSets(c)
	if err != nil {
		return nil, err
	}
	d.state = config.NewState(1, sets)
	d.Configure(d.now, d.state)
	d.vms = newFleetVMs(c)
	d.SetVMs(d.now, d.vms)
	for _, name := range d.WatchedTargets() {
		d.answerHeartbeat(name)
	}
	return d, nil
}

// answerHeartbeat reports a heartbeat response of a target with free capacity.
func (d *fleetDispatcher) answerHeartbeat(name string) {
	d.HeartbeatAnswered(d.now, name, dispatch.Report{
		Incarnation: "01J9ZZZZZZZZZZZZZZZZZZZZZZ", State: dispatch.TargetServing, Protocol: kumquatlug.ProtocolEngine,
		Role: kumquatlug.RoleBoth, Revision: 1, SentAt: d.now, KVTotal: 1 << 40, PrefillRate: 7312, DecodeRate: 1210,
	})
}

// newRequest returns the i-th request, sent by caller.
func (d *fleetDispatcher) newRequest(i int, caller kumquatlug.Caller) dispatch.RequestConfig {
	return dispatch.RequestConfig{
		ID: fmt.Sprintf("01J9ZZZZZZZZZZZZZZ%08d", i), Caller: caller, Kind: draftKind, Role: kumquatlug.RoleBoth,
		PrefixKeys: []uint64{uint64(i)<<8 | 1, uint64(i)<<8 | 2}, PrefillTokens: 500, DecodeTokens: 200,
		Arrival: d.now, Deadline: d.now + 2*kumquatlug.Minute, Fingerprint: newFingerprint(i),
	}
}

// newFleetSets returns the config of a fleet: a selector per model and role, and labels
// per target.
func newFleetSets(c fleetConfig) ([]config.Set, error) {
	sets := make([]config.Set, 0, c.targets+len(modelNames))
	roles := []kumquatlug.Role{kumquatlug.RoleBoth}
	if c.disaggregated {
		roles = []kumquatlug.Role{kumquatlug.RolePrefill, kumquatlug.RoleDecode}
	}
	for _, model := range modelNames {
		for _, role := range roles {
			set, err := config.NewSelectorSet(selector.Config{
				Name: model + "-" + string(role), Protocol: kumquatlug.ProtocolEngine, Kind: model, Role: role, Match: "pool=" + model,
			})
			if err != nil {
				return nil, err
			}
			sets = append(sets, set)
		}
	}
	labels, err := newTargetSets(c.targets)
	if c.singleKind {
		labels, err = newPoolSets(c.targets, modelNames[:1])
	}
	return append(sets, labels...), err
}

// newTargetSets returns the labels of n targets, distributed over the models.
func newTargetSets(n int) ([]config.Set, error) { return newPoolSets(n, modelNames) }

func newPoolSets(n int, pools []string) ([]config.Set, error) {
	sets := make([]config.Set, n)
	for i := range sets {
		text, err := json.Marshal(selector.Labels{"pool": pools[i%len(pools)], "generation": "2", "site": "north"})
		if err != nil {
			return nil, err
		}
		sets[i] = config.NewSet(config.PrefixTarget+targetName(i), text)
	}
	return sets, nil
}

func newFleetVMs(c fleetConfig) []kumquatlug.VM {
	vms := make([]kumquatlug.VM, 0, c.targets+c.gateways)
	for i := range c.targets {
		vms = append(vms, kumquatlug.NewVM(kumquatlug.VMConfig{
			Name: targetName(i), Role: kumquatlug.VMTarget, Address: fmt.Sprintf("10.120.%d.%d:8090", i>>8, i&255),
			Zone: zone, State: kumquatlug.VMLive,
		}))
	}
	for i := range c.gateways {
		vms = append(vms, kumquatlug.NewVM(kumquatlug.VMConfig{
			Name: fmt.Sprintf("entry-%04d", i), Role: kumquatlug.VMGateway, Address: fmt.Sprintf("10.121.%d.%d:8070", i>>8, i&255),
			Zone: zone, State: kumquatlug.VMLive,
		}))
	}
	return vms
}

// newAccount returns the i-th client account.
func newAccount(i int) (kumquatlug.Caller, error) {
	name := fmt.Sprintf("account-%04d", i)
	return kumquatlug.NewCaller(kumquatlug.CallerConfig{Name: name, KeyHash: kumquatlug.HashKey(name)})
}
