package capacity

import (
	"context"

	"github.com/oklog/ulid/v2"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
	"github.com/kumquatlug/kumquatlug/platform"
)

// measureTableTraffic measures the bytes of the requests that gateways send to the
// platform continuously, over the platform's protocol without TLS.
func measureTableTraffic(ctx context.Context, c Config) ([]Slope, error) {
	s, err := newDeployment(ctx)
	if err != nil {
		return nil, err
	}
	t := &connectionTraffic{}
	l, err := s.listen(t, false)
	if err != nil {
		return nil, err
	}
	s.addServerOn(l, rowstore.New())
	defer s.start()()
	client := platform.NewStore(platform.StoreConfig{
		Address: l.Addr().String(), Pool: exchange.New(exchange.Config{Clock: clock.NewMonotonic(), MaxIdlePerAddress: 1}),
	})
	store := config.NewStore(config.StoreConfig{Table: client, Objects: client})
	if err := commitUpTo(ctx, store, 100); err != nil {
		return nil, err
	}
	sizes := []int{c.scaledSize(200, 3), c.scaledSize(1200, 9)}
	slopes, err := measureExchanges(exchangeConfig{costName: "config head read", countedObject: "read", sizes: sizes, traffic: t, noTLS: true, exchange: func() error {
		_, err := store.Head(ctx)
		return err
	}})
	if err != nil {
		return nil, err
	}
	renewalSlopes, err := measureExchanges(exchangeConfig{costName: "lease renewed", countedObject: "renewal", sizes: sizes, traffic: t, noTLS: true, exchange: func() error {
		return readAndRenewLease(ctx, client)
	}})
	if err != nil {
		return nil, err
	}
	slopes = append(slopes, renewalSlopes...)
	more, err := s.measureVMList(ctx, c, t, client)
	return append(slopes, more...), err
}

// readAndRenewLease reads the row of a lease and writes it again.
func readAndRenewLease(ctx context.Context, client kumquatlug.Table) error {
	key := lease.Key("draft/0001")
	row, err := client.Get(ctx, key)
	if err != nil {
		return err
	}
	value := []byte(`{"holder":"entry-0123/01J9ZZZZZZZZZZZZZZZZZZZZZZ","number":12,"ttl_ms":15000,"attempt":"entry-0123/01J9ZZZZZZZZZZZZZZZZZZZZZZ/812"}`)
	return client.Commit(ctx, kumquatlug.NewTx(ulid.Make().String()).If(key, row.Version()).Put(key, value))
}

// measureVMList measures reading the platform's list of VMs for two lengths.
func (s *deployment) measureVMList(ctx context.Context, c Config, t *connectionTraffic, client kumquatlug.Table) ([]Slope, error) {
	const readsPerRun = 5
	var bytes, nanos []Point
	roster := membership.NewRoster(client)
	for _, n := range []int{c.scaledSize(200, 5), c.scaledSize(2200, 25)} {
		for _, vm := range newFleetVMs(fleetConfig{targets: n}) {
			if err := roster.Register(ctx, vm); err != nil {
				return nil, err
			}
		}
		before := t.snapshot()
		took, err := minProcessorTime(func() error {
			for range readsPerRun {
				if _, err := roster.List(ctx); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		bytes = append(bytes, NewPoint(n, float64(t.snapshot().sub(before).wireBytes())/readsPerRun/repetitions))
		nanos = append(nanos, NewPoint(n, float64(took.Nanoseconds())/readsPerRun))
	}
	return newSlopes([]slopeConfig{
		{"platform's list read: wire, both ways, without TLS", "VM listed", UnitBytes, bytes},
		{"platform's list read: both ends", "VM listed", UnitProcessorNanos, nanos},
	})
}
