package retry

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// claimAll claims until the pool has no retries, and returns how many there were and the row.
func claimAll(t *testing.T, p Pool, row kumquatlug.Row) (int, kumquatlug.Row, kumquatlug.Millis) {
	t.Helper()
	for n := 0; ; {
		c, err := p.Claim(row, 100)
		if err != nil {
			t.Fatal(err)
		}
		if c.Row() != nil {
			row = kumquatlug.NewRow("pool", c.Row(), row.Version()+1).WithEra(row.Era()).WithReadAt(row.ReadAt())
		}
		if n += c.Retries(); c.Retries() == 0 {
			return n, row, c.Wait()
		}
	}
}

func TestPoolIsClaimedOncePerSpan(t *testing.T) {
	p := NewPool(SharedBudgetConfig{MinRetries: 52})
	n, row, wait := claimAll(t, p, kumquatlug.NewRow("pool", nil, 0).WithReadAt(100_000))
	if n != 46 || wait != 12_000 {
		t.Errorf("%d retries claimed, more after %d ms; want 46 and 12000", n, wait)
	}
	if n, _, _ := claimAll(t, p, row.WithReadAt(111_999)); n != 0 {
		t.Errorf("%d retries claimed within the span", n)
	}
	if n, _, _ := claimAll(t, p, row.WithReadAt(112_000)); n != 46 {
		t.Errorf("%d retries claimed after the span, want 46", n)
	}
}

// The store is restored from a copy that lacks the last claims, or somebody else wrote the row. What was
// claimed before and what is claimed now must not exceed the minimum.
func TestPoolOfRestoredStoreIsUsedUp(t *testing.T) {
	p := NewPool(SharedBudgetConfig{MinRetries: 52})
	c, err := p.Claim(kumquatlug.NewRow("pool", nil, 0).WithReadAt(100_000), 1)
	if err != nil {
		t.Fatal(err)
	}
	for name, row := range map[string]kumquatlug.Row{
		"older copy": kumquatlug.NewRow("pool", c.Row(), 7).WithEra(1),
		"no row":     kumquatlug.NewRow("pool", nil, 0).WithEra(1),
	} {
		n, row, wait := claimAll(t, p, row.WithReadAt(103_000))
		if 46+n > 52 || wait != 12_000 {
			t.Errorf("%s: %d retries claimed, more after %d ms", name, n, wait)
		}
		if n, _, _ := claimAll(t, p, row.WithReadAt(115_000)); n != 46 {
			t.Errorf("%s: %d retries claimed after the span, want 46", name, n)
		}
	}
	broken, err := p.Claim(kumquatlug.NewRow("pool", []byte("x"), 3).WithReadAt(103_000), 1)
	if err == nil || broken.Retries() > 6 || broken.Row() == nil {
		t.Errorf("invalid row: %+v, %v", broken, err)
	}
}

// Thousands of claims in one span must not outgrow the row.
func TestPoolRowIsBounded(t *testing.T) {
	p := NewPool(SharedBudgetConfig{MinRetries: 10_000})
	row := kumquatlug.NewRow("pool", nil, 0)
	for now := kumquatlug.Millis(0); now < 30_000; now += 5 {
		c, err := p.Claim(row.WithReadAt(now), 1)
		if err != nil {
			t.Fatal(err)
		}
		if c.Row() != nil {
			row = kumquatlug.NewRow("pool", c.Row(), row.Version()+1)
		}
	}
	if n := len(row.Value()); n > 4000 {
		t.Errorf("the row has %d bytes", n)
	}
}

// A row of another writer. Guards against numbers that give the gateways more retries than the budget has.
func TestPoolIgnoresImpossibleClaims(t *testing.T) {
	p := NewPool(SharedBudgetConfig{MinRetries: 50, Window: 10_000})
	for _, claims := range []string{
		`[{"at_ms":100000,"retries":-1000000}]`, `[{"at_ms":100000,"retries":9223372036854775807},{"at_ms":100000,"retries":9223372036854775807}]`,
		`[{"at_ms":100000,"retries":40},{"at_ms":100000,"retries":-40}]`,
	} {
		row := kumquatlug.NewRow("k", []byte(`{"claims":`+claims+`}`), 1).WithReadAt(100_000)
		claimed := 0
		for range 100 {
			c, _ := p.Claim(row, 10)
			claimed += c.Retries()
			if c.Row() != nil {
				row = kumquatlug.NewRow("k", c.Row(), row.Version()+1).WithReadAt(100_000)
			}
		}
		if claimed > 50 {
			t.Errorf("%s: %d retries of 50", claims, claimed)
		}
	}
}
