package rowstore_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	memory "github.com/kumquatlug/kumquatlug/internal/standin/platform"
	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
	"github.com/kumquatlug/kumquatlug/platform"
)

// backend is an implementation of the platform's storage interfaces.
type backend struct {
	kumquatlug.Table
	kumquatlug.Objects
	kumquatlug.VMs
	// loseResponses drops the responses to the next n writes; setDown starts or
	// ends an outage.
	loseResponses func(n int)
	setDown       func(bool)
}

// backends returns the simulated store behind its published protocol, accessed
// through the production client, and the in-memory platform. Both must satisfy
// the same contract, so that tests against one are valid for the other.
func backends(t *testing.T) map[string]backend {
	t.Helper()
	server := httptest.NewServer(rowstore.New())
	t.Cleanup(server.Close)
	store := platform.NewStore(platform.StoreConfig{
		Address: strings.TrimPrefix(server.URL, "http://"),
		Pool:    exchange.New(exchange.Config{Clock: clock.NewMonotonic(), MaxIdlePerAddress: 8}),
	})
	setFaults := func(body string) {
		response, err := http.Post(server.URL+rowstore.PathFaults, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
	}
	m := memory.NewMemory()
	return map[string]backend{
		"protocol": {
			store, store, membership.NewRoster(store),
			func(n int) { setFaults(fmt.Sprintf(`{"lose_answers":%d}`, n)) }, func(down bool) { setFaults(fmt.Sprintf(`{"down":%t}`, down)) },
		},
		"memory": {
			m, m, m,
			func(n int) { m.SetFaults(memory.Faults{LoseResponses: n}) }, func(down bool) { m.SetFaults(memory.Faults{Down: down}) },
		},
	}
}

// forEachBackend runs a test against both backends.
func forEachBackend(t *testing.T, test func(ctx context.Context, t *testing.T, b backend)) {
	t.Helper()
	for name, b := range backends(t) {
		t.Run(name, func(t *testing.T) { test(t.Context(), t, b) })
	}
}

// must fails the test if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func get(ctx context.Context, t *testing.T, b backend, key string) kumquatlug.Row {
	t.Helper()
	row, err := b.Get(ctx, key)
	must(t, err)
	return row
}

func TestCommitIsAtomic(t *testing.T) {
	forEachBackend(t, func(ctx context.Context, t *testing.T, b backend) {
		must(t, b.Commit(ctx, kumquatlug.NewTx("1").If("k/a", 0).Put("k/a", []byte("x")).Put("l/b", []byte("y"))))
		first := get(ctx, t, b, "l/b")
		err := b.Commit(ctx, kumquatlug.NewTx("2").If("l/b", first.Version()).If("k/a", first.Version()+7).Put("l/b", []byte("z")).Delete("k/a"))
		if !errors.Is(err, kumquatlug.ErrConflict) {
			t.Fatalf("%v", err)
		}
		if a, second := get(ctx, t, b, "k/a"), get(ctx, t, b, "l/b"); string(a.Value()) != "x" || string(second.Value()) != "y" ||
			second.Version() != first.Version() || a.Version() == 0 {
			t.Errorf("after the conflict: a=%q at version %d, b=%q at version %d", a.Value(), a.Version(), second.Value(), second.Version())
		}
	})
}

func TestOneWriterWinsEachVersion(t *testing.T) {
	forEachBackend(t, func(ctx context.Context, t *testing.T, b backend) {
		const writers, rounds = 8, 25
		var wins [writers]int
		var g sync.WaitGroup
		for w := range writers {
			g.Go(func() {
				for range rounds {
					r, err := b.Get(ctx, "k/k")
					if err != nil {
						t.Errorf("%v", err)
						return
					}
					tx := kumquatlug.NewTx("t").If("k/k", r.Version()).Put("k/k", append(r.Value(), 'x'))
					if err := b.Commit(ctx, tx); err == nil {
						wins[w]++
					} else if !errors.Is(err, kumquatlug.ErrConflict) {
						t.Errorf("%v", err)
					}
				}
			})
		}
		g.Wait()
		total := 0
		for _, n := range wins {
			total += n
		}
		if r := get(ctx, t, b, "k/k"); len(r.Value()) != total || total == 0 {
			t.Fatalf("%d commits took effect, %d were confirmed", len(r.Value()), total)
		}
	})
}

func TestVersionIsNotReusedAfterDelete(t *testing.T) {
	forEachBackend(t, func(ctx context.Context, t *testing.T, b backend) {
		must(t, b.Commit(ctx, kumquatlug.NewTx("1").Put("k/k", []byte("1"))))
		before := get(ctx, t, b, "k/k")
		must(t, b.Commit(ctx, kumquatlug.NewTx("2").Delete("k/k")))
		absent := get(ctx, t, b, "k/k")
		must(t, b.Commit(ctx, kumquatlug.NewTx("3").Put("k/k", []byte("1"))))
		after := get(ctx, t, b, "k/k")
		if absent.Exists() || after.Version() <= before.Version() {
			t.Fatalf("version %d before the delete, %d after it, %d after the second write", before.Version(), absent.Version(), after.Version())
		}
	})
}

// The store commits and the response is lost. A writer that treats this as a
// failed write would write again over its own row; only reading the row shows
// whether the commit took effect.
func TestLostResponseAfterCommit(t *testing.T) {
	forEachBackend(t, func(ctx context.Context, t *testing.T, b backend) {
		b.loseResponses(2)
		for _, key := range []string{"k/a", "k/b"} {
			if err := b.Commit(ctx, kumquatlug.NewTx("1").Put(key, []byte("x"))); !errors.Is(err, kumquatlug.ErrLost) {
				t.Fatalf("%s: %v", key, err)
			}
			if r := get(ctx, t, b, key); string(r.Value()) != "x" || !r.Exists() {
				t.Fatalf("%s: value %q at version %d", key, r.Value(), r.Version())
			}
		}
		must(t, b.Commit(ctx, kumquatlug.NewTx("3").Put("k/c", nil)))
	})
}

func TestOutageFailsBeforeAnyEffect(t *testing.T) {
	forEachBackend(t, func(ctx context.Context, t *testing.T, b backend) {
		b.setDown(true)
		if err := b.Commit(ctx, kumquatlug.NewTx("1").Put("k/a", nil)); !errors.Is(err, kumquatlug.ErrUnavailable) {
			t.Fatalf("%v", err)
		}
		if err := b.Put(ctx, "o", nil); !errors.Is(err, kumquatlug.ErrUnavailable) {
			t.Fatalf("%v", err)
		}
		b.setDown(false)
		if r := get(ctx, t, b, "k/a"); r.Exists() {
			t.Fatalf("%+v", r)
		}
	})
}

// A table has more rows than the store returns in one page. A reader that takes
// the first page for the whole table would miss the rest of the config or of
// the claims.
func TestScanReturnsAllRowsInKeyOrder(t *testing.T) {
	forEachBackend(t, func(ctx context.Context, t *testing.T, b backend) {
		const rows = 1103
		for at := 0; at < rows; at += kumquatlug.MaxTxEntries {
			tx := kumquatlug.NewTx("fill")
			for i := at; i < min(at+kumquatlug.MaxTxEntries, rows); i++ {
				tx = tx.Put(fmt.Sprintf("g/%04d", i*7919%rows), []byte("v"))
			}
			must(t, b.Commit(ctx, tx))
		}
		must(t, b.Commit(ctx, kumquatlug.NewTx("other").Put("h/a", nil).Put("f/z", nil)))
		for _, limit := range []int{0, 3, 700, rows} {
			found, err := b.Scan(ctx, "g/", "", limit)
			must(t, err)
			want := rows
			if limit > 0 {
				want = limit
			}
			if len(found) != want {
				t.Fatalf("limit %d: %d rows", limit, len(found))
			}
			for i, r := range found {
				if r.Key() != fmt.Sprintf("g/%04d", i) {
					t.Fatalf("limit %d: row %d is %q", limit, i, r.Key())
				}
			}
		}
		if found, err := b.Scan(ctx, "g/", "g/1100", 9); err != nil || len(found) != 2 || found[0].Key() != "g/1101" {
			t.Errorf("scan after a key: %v, %v", found, err)
		}
	})
}

func TestObjectsAndVMList(t *testing.T) {
	forEachBackend(t, func(ctx context.Context, t *testing.T, b backend) {
		if _, err := b.Fetch(ctx, "a/b"); !errors.Is(err, kumquatlug.ErrNotFound) {
			t.Fatalf("%v", err)
		}
		must(t, b.Put(ctx, "a/b", []byte("\x00body")))
		if text, err := b.Fetch(ctx, "a/b"); err != nil || string(text) != "\x00body" {
			t.Fatalf("%q %v", text, err)
		}
		vm := kumquatlug.NewVM(kumquatlug.VMConfig{
			Name: "t1", Role: kumquatlug.VMTarget, Address: "127.0.0.1:1", Zone: "a", State: kumquatlug.VMLive,
		})
		must(t, b.Register(ctx, vm))
		if vms, err := b.List(ctx); err != nil || len(vms) != 1 || vms[0] != vm {
			t.Fatalf("%+v %v", vms, err)
		}
		must(t, b.Deregister(ctx, "t1"))
		if vms, err := b.List(ctx); err != nil || len(vms) != 0 {
			t.Fatalf("%+v %v", vms, err)
		}
	})
}

// The platform accepts 100 entries per call. The client must reject a larger
// transaction with a clear error and not send it, since the store's error would
// not name the cause.
func TestOversizedTransactionIsRejected(t *testing.T) {
	b := backends(t)["protocol"]
	tx := kumquatlug.NewTx("large")
	for i := range kumquatlug.MaxTxEntries + 1 {
		tx = tx.Put(fmt.Sprintf("k/%d", i), nil)
	}
	err := b.Commit(t.Context(), tx)
	if err == nil || errors.Is(err, kumquatlug.ErrLost) || !strings.Contains(err.Error(), "101 entries") {
		t.Errorf("%v", err)
	}
}
