package gateway

import (
	"maps"
	"strings"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/standin/platform"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
)

// newTestController returns the controller of a gateway with a table in memory, which does not
// hold the lease.
func newTestController(t *testing.T) *controller {
	t.Helper()
	f := newTestGateway(t, &fakeWorkers{}, manyRetries)
	f.g.c.Table = platform.NewMemory()
	holder, err := lease.New(lease.Config{Group: engineLeaseGroup, HolderID: "n/i"})
	if err != nil {
		t.Fatal(err)
	}
	return newController(f.g, holder)
}

// A gateway loses the lease and gets it back. Meanwhile another holder has published other
// weights. If those of its earlier lease were still used, the next plan would bring them back,
// and prefixes would move twice.
func TestWeightsOfInterimHolderAreKept(t *testing.T) {
	v := newTestController(t)
	v.maintainLease(t.Context())
	v.ownerWeights["engines"] = ownerWeights{weights: map[string]float64{"p1": 4}, published: true}
	v.holder.SetWanted(false)
	v.maintainLease(t.Context())
	weights := map[string]float64{"p1": 0.5, "p2": 2}
	v.g.scheduler.setOwnerWeights("engines", weights)
	v.holder.SetWanted(true)
	v.maintainLease(t.Context())
	if _, held := v.holder.Held(v.g.c.BootClock.Now()); !held {
		t.Fatal("the lease was not won back")
	}
	v.updateOwnerWeights(v.g.c.BootClock.Now(), "engines", nil)
	if got := v.ownerWeights["engines"].weights; !maps.Equal(got, weights) {
		t.Errorf("weights %v instead of %v", got, weights)
	}
}

// A holder of the lease was stopped before it published a plan, and another one has published a
// newer plan since. The older plan must not replace it, neither in the store nor here.
func TestPlanOfFormerHolderIsNotPublished(t *testing.T) {
	v := newTestController(t)
	newer := rolePlan{Weights: map[string]float64{"p2": 2}, FencingToken: 5}
	if !v.g.publishPlan(t.Context(), "engines", newer) {
		t.Fatal("the plan was not published")
	}
	if v.g.publishPlan(t.Context(), "engines", rolePlan{Weights: map[string]float64{"p1": 4}, FencingToken: 4}) {
		t.Error("a plan of a former lease was published")
	}
	row, err := v.g.c.Table.Get(t.Context(), planPrefix+"engines")
	if err != nil || strings.Contains(string(row.Value()), "p1") || !maps.Equal(v.g.scheduler.ownerWeights("engines"), newer.Weights) {
		t.Errorf("plan %s, weights %v, %v", row.Value(), v.g.scheduler.ownerWeights("engines"), err)
	}
}

// The store is away. If the holder of the lease used weights that no other gateway can read, its
// prompts would go to owners of their own until a later plan.
func TestUnpublishedWeightsDoNotApply(t *testing.T) {
	v := newTestController(t)
	v.g.c.Table = unavailableTable{}
	if v.g.publishPlan(t.Context(), "engines", rolePlan{Weights: map[string]float64{"p1": 4}}) {
		t.Fatal("the plan was published without a store")
	}
	if got := v.g.scheduler.ownerWeights("engines"); len(got) != 0 {
		t.Errorf("weights %v", got)
	}
}

// Engines are replaced by others for weeks. Weights of engines that left would make the plan
// grow until the store refuses it.
func TestPlanHasNoWeightsOfEnginesThatLeft(t *testing.T) {
	v := newTestController(t)
	v.ownerWeights["engines"] = ownerWeights{weights: map[string]float64{"left": 2}, published: true}
	receiveSpeeds(v.g, map[string]float64{"p1": 0.4, "p2": 1.5, "d1": 1, "d2": 1})
	members := []kumquatlug.Member{member("p1", kumquatlug.RolePrefill), member("p2", kumquatlug.RolePrefill)}
	v.updateOwnerWeights(2*minWeightInterval, "engines", members)
	got := v.ownerWeights["engines"].weights
	if _, kept := got["left"]; kept || got["p1"] == 0 {
		t.Errorf("weights %v", got)
	}
}

// The slow engine of an exchange refuses its order after the fast one has accepted. The fast one
// then returns to its role, and the exchange must not be tried again at once.
func TestHalfExchangeIsNotRepeated(t *testing.T) {
	v := newTestController(t)
	engines := []planner.SplitEngine{
		{Target: "p1", Role: kumquatlug.RolePrefill, RelativeTime: 0.5, Suitable: true}, {Target: "d1", Role: kumquatlug.RoleDecode, RelativeTime: 2},
	}
	exchanges := planner.ExchangeRoles(engines, 1)
	if len(exchanges) != 1 {
		t.Fatalf("exchanges %v", exchanges)
	}
	now := kumquatlug.Millis(1000)
	v.pendingOrders["p1"] = pendingOrder{role: kumquatlug.RoleDecode, at: now}
	v.recordExchanges(now, "engines", exchanges)
	delete(v.pendingOrders, "p1")
	v.addSpeeds(now+minExchangeInterval-1, "engines", engines)
	for _, e := range engines {
		if !e.ChangedRecently {
			t.Errorf("%s may be exchanged again", e.Target)
		}
	}
}
