package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/standin/platform"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func start(t *testing.T, c platform.Config) (*platform.Memory, string) {
	t.Helper()
	s := platform.New(c)
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return s.Memory(), h.URL
}

// send returns status zero when the connection was cut without an answer.
func send(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, string(text)
}

func row(t *testing.T, url, key string) (string, int64) {
	t.Helper()
	var body struct {
		Value   []byte
		Version int64
	}
	status, text := send(t, http.MethodGet, url+"/table/row?key="+key, "")
	if err := json.Unmarshal([]byte(text), &body); err != nil || status != http.StatusOK {
		t.Fatalf("row %s: %d %s %v", key, status, text, err)
	}
	return string(body.Value), body.Version
}

func TestCommitTakesEffectWholeOrNotAtAll(t *testing.T) {
	_, url := start(t, platform.Config{})
	const both = `{"id":"1","conditions":[{"key":"a","version":0}],"writes":[{"key":"a","value":"eA=="},{"key":"b","value":"eQ=="}]}`
	if status, text := send(t, http.MethodPost, url+"/table/commit", both); status != http.StatusOK {
		t.Fatalf("%d %s", status, text)
	}
	const half = `{"id":"2","conditions":[{"key":"b","version":2},{"key":"a","version":9}],"writes":[{"key":"b","value":"eg=="},{"key":"a","deleted":true}]}`
	if status, text := send(t, http.MethodPost, url+"/table/commit", half); status != http.StatusConflict {
		t.Fatalf("%d %s", status, text)
	}
	a, versionA := row(t, url, "a")
	b, versionB := row(t, url, "b")
	if a != "x" || b != "y" || versionA == 0 || versionB <= versionA {
		t.Fatalf("a=%q at %d, b=%q at %d", a, versionA, b, versionB)
	}
}

func TestOneOfManyWritersWinsEachVersion(t *testing.T) {
	m := platform.NewMemory()
	const writers, rounds = 8, 50
	var wins [writers]int
	var g sync.WaitGroup
	for w := range writers {
		g.Go(func() {
			for range rounds {
				r, _ := m.Get(context.Background(), "k")
				tx := kumquatlug.NewTx("t").If("k", r.Version()).Put("k", append(r.Value(), 'x'))
				if err := m.Commit(context.Background(), tx); err == nil {
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
	r, _ := m.Get(context.Background(), "k")
	if len(r.Value()) != total || total == 0 {
		t.Fatalf("%d commits took effect, %d were confirmed", len(r.Value()), total)
	}
}

func TestVersionNeverComesBackAfterDelete(t *testing.T) {
	m := platform.NewMemory()
	ctx := context.Background()
	write := func(tx kumquatlug.Tx) {
		t.Helper()
		if err := m.Commit(ctx, tx); err != nil {
			t.Fatal(err)
		}
	}
	write(kumquatlug.NewTx("1").Put("k", nil))
	before, _ := m.Get(ctx, "k")
	write(kumquatlug.NewTx("2").Delete("k"))
	absent, _ := m.Get(ctx, "k")
	write(kumquatlug.NewTx("3").Put("k", nil))
	after, _ := m.Get(ctx, "k")
	if absent.Exists() || after.Version() <= before.Version() {
		t.Fatalf("%d, then %d, then %d", before.Version(), absent.Version(), after.Version())
	}
}

// The table commits and its answer is lost on the way. A writer that takes
// that for a failure writes again, over its own row; the only way to the truth
// is to read back.
func TestLostAnswerAfterTheCommitTookEffect(t *testing.T) {
	m, url := start(t, platform.Config{})
	if status, _ := send(t, http.MethodPost, url+"/faults", `{"lose_answers":2}`); status != http.StatusOK {
		t.Fatal(status)
	}
	if status, text := send(t, http.MethodPost, url+"/table/commit", `{"id":"1","writes":[{"key":"a","value":"eA=="}]}`); status != 0 {
		t.Fatalf("the answer came: %d %s", status, text)
	}
	if err := m.Commit(context.Background(), kumquatlug.NewTx("2").Put("b", nil)); !errors.Is(err, kumquatlug.ErrLost) {
		t.Fatalf("%v", err)
	}
	if value, version := row(t, url, "a"); value != "x" || version == 0 {
		t.Fatalf("%q at %d", value, version)
	}
	if status, _ := send(t, http.MethodPost, url+"/table/commit", `{"id":"3","writes":[{"key":"c"}]}`); status != http.StatusOK {
		t.Fatalf("a third answer was lost: %d", status)
	}
}

func TestDownFailsBeforeAnyEffect(t *testing.T) {
	m, url := start(t, platform.Config{})
	ctx := context.Background()
	m.SetFaults(platform.Faults{DownTable: true})
	if status, _ := send(t, http.MethodPost, url+"/table/commit", `{"id":"1","writes":[{"key":"a"}]}`); status != http.StatusServiceUnavailable {
		t.Fatal(status)
	}
	if err := m.Commit(ctx, kumquatlug.NewTx("1").Put("a", nil)); !errors.Is(err, kumquatlug.ErrUnavailable) {
		t.Fatalf("%v", err)
	}
	if err := m.Put(ctx, "o", nil); err != nil {
		t.Fatalf("the object store went down with the table: %v", err)
	}
	m.SetFaults(platform.Faults{})
	if r, err := m.Get(ctx, "a"); err != nil || r.Exists() {
		t.Fatalf("%+v %v", r, err)
	}
	m.SetFaults(platform.Faults{Slow: kumquatlug.Hour})
	late, cancel := context.WithCancel(ctx)
	cancel()
	if err := m.Commit(late, kumquatlug.NewTx("2").Put("a", nil)); !errors.Is(err, kumquatlug.ErrUnavailable) {
		t.Fatalf("%v", err)
	}
}

func TestScanGivesPagesInKeyOrder(t *testing.T) {
	_, url := start(t, platform.Config{})
	for _, k := range []string{"g/c", "g/a", "h/a", "g/b", "f/z"} {
		send(t, http.MethodPost, url+"/table/commit", fmt.Sprintf(`{"writes":[{"key":%q}]}`, k))
	}
	keys := func(query string) string {
		var body struct{ Rows []struct{ Key string } }
		_, text := send(t, http.MethodGet, url+"/table/scan?"+query, "")
		if err := json.Unmarshal([]byte(text), &body); err != nil {
			t.Fatal(err)
		}
		return fmt.Sprint(body.Rows)
	}
	if got := keys("prefix=g/&limit=2"); got != "[{g/a} {g/b}]" {
		t.Fatal(got)
	}
	if got := keys("prefix=g/&after=g/b&limit=2"); got != "[{g/c}]" {
		t.Fatal(got)
	}
}

func TestObjectsAndTheListOfVMs(t *testing.T) {
	seed := kumquatlug.NewVM(kumquatlug.VMConfig{Name: "t1", Role: kumquatlug.VMTarget, Address: "127.0.0.1:1", Zone: "a", State: kumquatlug.VMLive})
	_, url := start(t, platform.Config{Token: "", Lag: kumquatlug.Hour, VMs: []kumquatlug.VM{seed}})
	if status, _ := send(t, http.MethodGet, url+"/objects/a/b", ""); status != http.StatusNotFound {
		t.Fatal(status)
	}
	send(t, http.MethodPut, url+"/objects/a/b", "\x00body")
	if status, text := send(t, http.MethodGet, url+"/objects/a/b", ""); status != http.StatusOK || text != "\x00body" {
		t.Fatalf("%d %q", status, text)
	}
	send(t, http.MethodPut, url+"/vms/t1", `{"role":"target","state":"leaving"}`)
	send(t, http.MethodPut, url+"/vms/t2", `{"role":"target"}`)
	const want = `{"vms":[{"name":"t1","role":"target","address":"127.0.0.1:1","zone":"a","state":"live"}]}` + "\n"
	if _, text := send(t, http.MethodGet, url+"/vms", ""); text != want {
		t.Fatalf("the list does not lag: %s", text)
	}
}

func TestLateListShowsChangesAfterTheLag(t *testing.T) {
	m := platform.NewMemory()
	m.SetLag(1)
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

func TestTokenIsDemanded(t *testing.T) {
	_, url := start(t, platform.Config{Token: "secret"})
	if status, _ := send(t, http.MethodGet, url+"/vms", ""); status != http.StatusUnauthorized {
		t.Fatal(status)
	}
}
