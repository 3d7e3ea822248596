package capacity

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routing"
)

// retainedBenchmark is a kind of object of which a process keeps many.
type retainedBenchmark struct {
	costName      string
	countedObject string
	sizes         [2]int
	build         func(n int) (any, error)
}

// measureMemory measures the heap per retained object of each kind.
func measureMemory(ctx context.Context, c Config) ([]Slope, error) {
	smallSizes := [2]int{c.scaledSize(500, 10), c.scaledSize(2500, 30)}
	largeSizes := [2]int{c.scaledSize(4000, 100), c.scaledSize(24000, 400)}
	benchmarks := []retainedBenchmark{
		{"entry: target listed, outside the subset", "target", [2]int{c.scaledSize(1000, 30), c.scaledSize(10_000, 90)}, buildListedTargets},
		{"entry: target in the subset", "target", [2]int{c.scaledSize(20, 5), c.scaledSize(220, 25)}, buildWatchedTargets},
		{"entry: account in the view and its limits", "caller", smallSizes, buildAccounts},
		{"entry: decisions for a request in hand", "request", smallSizes, buildRequestsInFlight},
		{"entry: decisions for a queued request", "request", [2]int{c.scaledSize(100, 10), c.scaledSize(900, 50)}, buildQueuedRequests},
		{"any: config row of labels", "row", largeSizes, buildConfigRows},
		{"any: change kept for peers", "change", smallSizes, buildChanges},
		{"entry: prefix key", "key", largeSizes, buildPrefixKeys},
		{"any: event in the ring", "event", largeSizes, buildEventRing},
		{"any: quarantined fingerprint", "fingerprint", smallSizes, buildFingerprints},
		{"planner: lease of a group", "group", smallSizes, buildLeases},
		{"planner: engine of a group", "engine", smallSizes, buildEngineReports},
		{"agent: run-once key remembered", "key", [2]int{c.scaledSize(200, 5), c.scaledSize(1000, 20)}, func(n int) (any, error) {
			return buildCachedCalls(ctx, n)
		}},
	}
	slopes := make([]Slope, 0, len(benchmarks))
	for _, b := range benchmarks {
		s, err := b.measure()
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

func (b retainedBenchmark) measure() (Slope, error) {
	points := make([]Point, 0, len(b.sizes))
	for _, n := range b.sizes {
		bytes, err := retainedHeap(func() (any, error) { return b.build(n) })
		if err != nil {
			return Slope{}, errors.Wrap(err, b.costName)
		}
		points = append(points, NewPoint(n, bytes))
	}
	return NewSlope(b.costName, b.countedObject, UnitHeapBytes, points...)
}

func buildListedTargets(n int) (any, error) {
	return newFleetDispatcher(fleetConfig{targets: n, gateways: gatewaysFor(n)})
}

func buildWatchedTargets(n int) (any, error) {
	return newFleetDispatcher(fleetConfig{targets: n, gateways: 1, singleKind: true})
}

// buildAccounts returns the state that a gateway keeps for n accounts that send
// occasional requests: the accounts by key hash, as in the gateway's view of the
// config, and their usage.
func buildAccounts(n int) (any, error) {
	d, err := newFleetDispatcher(fleetConfig{targets: 20, gateways: 1, singleKind: true, concurrency: 256})
	if err != nil {
		return nil, err
	}
	callersByKeyHash := map[string]kumquatlug.Caller{}
	for i := range n {
		name := fmt.Sprintf("account-%04d", i)
		text, err := json.Marshal(kumquatlug.CallerConfig{Name: name, KeyHash: kumquatlug.HashKey(name), TokensPerSecond: 10_000})
		if err != nil {
			return nil, errors.Wrap(err, "encode a client account")
		}
		caller, err := kumquatlug.DecodeCaller(text)
		if err != nil {
			return nil, err
		}
		callersByKeyHash[caller.KeyHash()] = caller
		r := d.newRequest(0, caller)
		r.PrefixKeys = nil
		d.Arrive(d.now, r)
		d.Finished(d.now, r.ID, dispatch.Completion{OutputTokens: 200})
	}
	return []any{d, callersByKeyHash}, nil
}

// buildRequestsInFlight returns a dispatcher with n requests in flight.
func buildRequestsInFlight(n int) (any, error) { return newLoadedDispatcher(n, n) }

// buildQueuedRequests returns a dispatcher with n requests, of which one is in flight
// and the others are queued.
func buildQueuedRequests(n int) (any, error) { return newLoadedDispatcher(n, 1) }

func newLoadedDispatcher(n, concurrency int) (any, error) {
	d, err := newFleetDispatcher(fleetConfig{targets: 1, gateways: 1, singleKind: true, concurrency: concurrency})
	if err != nil {
		return nil, err
	}
	caller, err := newAccount(0)
	if err != nil {
		return nil, err
	}
	for i := range n {
		r := d.newRequest(i, caller)
		r.PrefixKeys = nil
		r.Deadline = d.now + 100*kumquatlug.Hour
		for _, decision := range d.Arrive(d.now, r) {
			if decision.Verdict() == dispatch.VerdictRefuse {
				return nil, errors.Newf("request %d of %d was rejected: %v", i, n, decision.Failure())
			}
		}
	}
	return d, nil
}

func buildConfigRows(n int) (any, error) {
	sets, err := newTargetSets(n)
	return config.NewState(1, sets), err
}

func buildChanges(n int) (any, error) {
	a := config.NewAdopter(config.AdopterConfig{NodeName: "entry-0000", MaxRecentChanges: n})
	changes, err := newLabelChanges(n)
	if err != nil {
		return nil, err
	}
	_, _, err = a.Adopt(changes)
	return a, err
}

// newLabelChanges returns n config changes, each of which sets the labels of one
// target.
func newLabelChanges(n int) ([]config.Change, error) {
	sets, err := newTargetSets(min(n, 100))
	if err != nil {
		return nil, err
	}
	changes := make([]config.Change, n)
	for i := range changes {
		set := sets[i%len(sets)]
		copied := config.NewSet(set.Key(), append([]byte(nil), set.Value()...))
		changes[i] = config.NewChange(config.Revision(i+1), cryptorand.Text(), "operator", []config.Set{copied})
	}
	return changes, nil
}

func buildPrefixKeys(n int) (any, error) {
	const targets = 60
	r := routing.New(routing.Config{RandomSource: rand.NewPCG(1, 1), Zone: zone, PrefixKeys: n})
	for i := range targets {
		r.Set(0, routing.Candidate{Name: targetName(i), Zone: zone, Assignments: []routing.Assignment{{Kind: draftKind, Role: kumquatlug.RoleBoth}}})
	}
	for i := range n {
		name := targetName(i % targets)
		r.Sent(0, name, routing.Call{ID: "one", Prefix: []uint64{uint64(i)}, PrefillTokens: 1, DecodeTokens: 1})
		r.Finished(0, name, "one")
	}
	return r, nil
}

func buildEventRing(n int) (any, error) {
	r := timeline.NewRing("entry-0123", n)
	for i := range n {
		r.Add(timeline.Record{Name: timeline.Sent, RequestID: ulid.Make().String(), Peer: targetName(i), Detail: "attempt 1"})
	}
	return r, nil
}

func buildFingerprints(n int) (any, error) {
	register := quarantine.New(quarantine.Config{MaxRecords: n + 1})
	for i := range n {
		register.Crashed(1000, quarantine.NewCrash("drafting-01234", "01J9ZZZZZZZZZZZZZZZZZZZZZZ"), newInFlightCalls(i))
	}
	return register, nil
}

func buildLeases(n int) (any, error) {
	holders := make([]*lease.Holder, n)
	for i := range holders {
		h, err := lease.New(lease.Config{Group: fmt.Sprintf("draft/%04d", i), HolderID: "entry-0123/01J9ZZZZZZZZZZZZZZZZZZZZZZ"})
		if err != nil {
			return nil, err
		}
		h.Next(1000)
		holders[i] = h
	}
	return holders, nil
}

func buildEngineReports(n int) (any, error) {
	p := planner.New(planner.Config{})
	for i := range n {
		p.Report(1000, kumquatlug.EngineReport{
			Target: targetName(i), Role: []kumquatlug.Role{kumquatlug.RolePrefill, kumquatlug.RoleDecode}[i%2], TakenAt: 900,
		})
	}
	return p, nil
}
