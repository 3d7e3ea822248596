package platform_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/standin/platform"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func TestTableOutageLeavesObjectsAvailable(t *testing.T) {
	m := platform.NewMemory()
	ctx := context.Background()
	m.SetFaults(platform.Faults{TableDown: true})
	if err := m.Commit(ctx, kumquatlug.NewTx("1").Put("a", nil)); !errors.Is(err, kumquatlug.ErrUnavailable) {
		t.Fatalf("%v", err)
	}
	if err := m.Put(ctx, "o", nil); err != nil {
		t.Fatalf("object store unavailable during an outage of the table: %v", err)
	}
	m.SetFaults(platform.Faults{})
	if r, err := m.Get(ctx, "a"); err != nil || r.Exists() {
		t.Fatalf("%+v %v", r, err)
	}
	m.SetFaults(platform.Faults{Delay: kumquatlug.Hour})
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	if err := m.Commit(cancelled, kumquatlug.NewTx("2").Put("a", nil)); !errors.Is(err, kumquatlug.ErrUnavailable) {
		t.Fatalf("%v", err)
	}
}

func TestVMListShowsChangesAfterLag(t *testing.T) {
	m := platform.NewMemory()
	m.SetVMListLag(1)
	m.SetVM(kumquatlug.NewVM(kumquatlug.VMConfig{Name: "t1"}))
	for seen := 0; seen == 0; {
		vms, err := m.List(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		seen = len(vms)
	}
	m.RemoveVM("t1")
	for seen := 1; seen == 1; {
		vms, err := m.List(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		seen = len(vms)
	}
}
