package accounts

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func newCaller(t testing.TB, name, key string) kumquatlug.Caller {
	t.Helper()
	c, err := kumquatlug.NewCaller(kumquatlug.CallerConfig{Name: name, KeyHash: kumquatlug.HashKey(key)})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A request with two keys is ambiguous, and one with a revoked key must not be accepted for
// any account.
func TestCredentialNeedsExactlyOneKnownKey(t *testing.T) {
	b := NewIndex([]kumquatlug.Caller{newCaller(t, "north", "k1"), newCaller(t, "north", "k2"), newCaller(t, "south", "k3"), newCaller(t, "late", "k1")})
	for _, c := range []struct {
		keys    []string
		account string
		status  KeyStatus
	}{
		{nil, "", KeyMissing},
		{[]string{""}, "", KeyMissing},
		{[]string{"k1"}, "north", KeyKnown},
		{[]string{"k2"}, "north", KeyKnown},
		{[]string{"k3"}, "south", KeyKnown},
		{[]string{"K3"}, "", KeyUnknown},
		{[]string{"k1,k3"}, "", KeyUnknown},
		{[]string{"k1", "k3"}, "", KeyAmbiguous},
		{[]string{"k1", "k1"}, "", KeyAmbiguous},
		{[]string{kumquatlug.HashKey("k1")}, "", KeyUnknown},
	} {
		account, status := b.Find(kumquatlug.NewCredential(c.keys))
		if account.Name() != c.account || status != c.status {
			t.Errorf("%q: %q, %s; want %q, %s", c.keys, account.Name(), status, c.account, c.status)
		}
	}
}

// BenchmarkFind measures the account lookup per request.
func BenchmarkFind(b *testing.B) {
	for _, keys := range []int{1, 20_000} {
		callers := make([]kumquatlug.Caller, keys)
		for i := range callers {
			callers[i] = newCaller(b, fmt.Sprintf("account-%d", i%740), fmt.Sprintf("key-%d", i))
		}
		index := NewIndex(callers)
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			values := []string{fmt.Sprintf("key-%d", keys-1)}
			for b.Loop() {
				if _, status := index.Find(kumquatlug.NewCredential(values)); status != KeyKnown {
					b.Fatal(status)
				}
			}
		})
	}
}
