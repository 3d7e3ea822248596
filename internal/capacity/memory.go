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

// holding is something of which a process keeps many.
type holding struct {
	what  string
	per   string
	sizes [2]int
	build func(n int) (any, error)
}

// memory measures the heap that one more of each thing takes.
func memory(ctx context.Context, c Config) ([]Slope, error) {
	some := [2]int{c.size(500, 10), c.size(2500, 30)}
	many := [2]int{c.size(4000, 100), c.size(24000, 400)}
	holdings := []holding{
		{"entry: target listed, outside the subset", "target", [2]int{c.size(1000, 30), c.size(10_000, 90)}, listedTargets},
		{"entry: target in the subset", "target", [2]int{c.size(20, 5), c.size(220, 25)}, watchedTargets},
		{"entry: account in the view and its limits", "caller", some, callersKept},
		{"entry: decisions for a request in hand", "request", some, requestsInHand},
		{"entry: decisions for a queued request", "request", [2]int{c.size(100, 10), c.size(900, 50)}, requestsQueued},
		{"any: config row of labels", "row", many, configRows},
		{"any: change kept for peers", "change", some, changesKept},
		{"entry: prefix key", "key", many, prefixKeysKept},
		{"any: event in the ring", "event", many, ringKept},
		{"any: quarantined fingerprint", "fingerprint", some, fingerprintsKept},
		{"planner: lease of a group", "group", some, leasesKept},
		{"planner: engine of a group", "engine", some, enginesKept},
		{"agent: run-once key remembered", "key", [2]int{c.size(200, 5), c.size(1000, 20)}, func(n int) (any, error) {
			return keysKept(ctx, n)
		}},
	}
	slopes := make([]Slope, 0, len(holdings))
	for _, h := range holdings {
		s, err := h.measure()
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

func (h holding) measure() (Slope, error) {
	points := make([]Point, 0, len(h.sizes))
	for _, n := range h.sizes {
		bytes, err := kept(func() (any, error) { return h.build(n) })
		if err != nil {
			return Slope{}, errors.Wrap(err, h.what)
		}
		points = append(points, NewPoint(n, bytes))
	}
	return NewSlope(h.what, h.per, UnitHeap, points...)
}

func listedTargets(n int) (any, error) {
	return newDesk(deskConfig{targets: n, entries: entriesBefore(n)})
}

func watchedTargets(n int) (any, error) {
	return newDesk(deskConfig{targets: n, entries: 1, oneKind: true})
}

// callersKept is what an entry keeps of accounts that send now and then: the
// account by its key, as the entry's view does, and what it has used.
func callersKept(n int) (any, error) {
	d, err := newDesk(deskConfig{targets: 20, entries: 1, oneKind: true, room: 256})
	if err != nil {
		return nil, err
	}
	view := map[string]kumquatlug.Caller{}
	for i := range n {
		name := fmt.Sprintf("account-%04d", i)
		text, err := json.Marshal(kumquatlug.CallerConfig{Name: name, KeyHash: kumquatlug.HashKey(name), TokensPerSecond: 10_000})
		if err != nil {
			return nil, errors.Wrap(err, "encode an account")
		}
		one, err := kumquatlug.DecodeCaller(text)
		if err != nil {
			return nil, err
		}
		view[one.KeyHash()] = one
		r := d.request(0, one)
		r.Prefix = nil
		d.Arrive(d.now, r)
		d.Finished(d.now, r.ID, dispatch.Done{Tokens: 200})
	}
	return []any{d, view}, nil
}

// requestsInHand returns a desk with n requests at its targets.
func requestsInHand(n int) (any, error) { return loadedDesk(n, n) }

// requestsQueued returns a desk with one request in hand and n behind it.
func requestsQueued(n int) (any, error) { return loadedDesk(n, 1) }

func loadedDesk(n, room int) (any, error) {
	d, err := newDesk(deskConfig{targets: 1, entries: 1, oneKind: true, room: room})
	if err != nil {
		return nil, err
	}
	one, err := account(0)
	if err != nil {
		return nil, err
	}
	for i := range n {
		r := d.request(i, one)
		r.Prefix = nil
		r.Deadline = d.now + 100*kumquatlug.Hour
		for _, decision := range d.Arrive(d.now, r) {
			if decision.Verdict() == dispatch.VerdictRefuse {
				return nil, errors.Newf("request %d of %d was refused: %v", i, n, decision.Failure())
			}
		}
	}
	return d, nil
}

func configRows(n int) (any, error) {
	sets, err := targetSets(n)
	return config.NewState(1, sets), err
}

func changesKept(n int) (any, error) {
	a := config.NewAdopter(config.AdopterConfig{Me: "entry-0000", Recent: n})
	changes, err := labelChanges(n)
	if err != nil {
		return nil, err
	}
	_, _, err = a.Adopt(changes)
	return a, err
}

// labelChanges returns n changes, each of one target's labels.
func labelChanges(n int) ([]config.Change, error) {
	sets, err := targetSets(min(n, 100))
	if err != nil {
		return nil, err
	}
	changes := make([]config.Change, n)
	for i := range changes {
		set := sets[i%len(sets)]
		own := config.NewSet(set.Key(), append([]byte(nil), set.Value()...))
		changes[i] = config.NewChange(config.Revision(i+1), cryptorand.Text(), "operator", []config.Set{own})
	}
	return changes, nil
}

func prefixKeysKept(n int) (any, error) {
	const targets = 60
	r := routing.New(routing.Config{Source: rand.NewPCG(1, 1), Zone: zone, PrefixKeys: n})
	for i := range targets {
		r.Set(0, routing.Candidate{Name: targetName(i), Zone: zone, Duties: []routing.Duty{{Kind: drafting, Role: kumquatlug.RoleBoth}}})
	}
	for i := range n {
		name := targetName(i % targets)
		r.Sent(0, name, routing.Call{ID: "one", Prefix: []uint64{uint64(i)}, PrefillTokens: 1, DecodeTokens: 1})
		r.Finished(0, name, "one")
	}
	return r, nil
}

func ringKept(n int) (any, error) {
	r := timeline.NewRing("entry-0123", n)
	for i := range n {
		r.Add(timeline.Record{Name: timeline.Sent, RequestID: ulid.Make().String(), Peer: targetName(i), Detail: "attempt 1"})
	}
	return r, nil
}

func fingerprintsKept(n int) (any, error) {
	register := quarantine.New(quarantine.Config{Records: n + 1})
	for i := range n {
		register.Crashed(1000, quarantine.NewCrash("drafting-01234", "01J9ZZZZZZZZZZZZZZZZZZZZZZ"), heldAt(i))
	}
	return register, nil
}

func leasesKept(n int) (any, error) {
	holders := make([]*lease.Holder, n)
	for i := range holders {
		h, err := lease.New(lease.Config{Group: fmt.Sprintf("draft/%04d", i), Me: "entry-0123/01J9ZZZZZZZZZZZZZZZZZZZZZZ"})
		if err != nil {
			return nil, err
		}
		h.Next(1000)
		holders[i] = h
	}
	return holders, nil
}

func enginesKept(n int) (any, error) {
	p := planner.New(planner.Config{})
	for i := range n {
		p.Report(1000, kumquatlug.EngineReport{
			Target: targetName(i), Role: []kumquatlug.Role{kumquatlug.RolePrefill, kumquatlug.RoleDecode}[i%2], TakenAt: 900,
		})
	}
	return p, nil
}
