package gateway

import (
	"fmt"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Guards against a log that another writer fills with one invalid row that it writes again and again, or with
// thousands of them, and against one that does not name the writer.
func TestInvalidRowsAreLoggedOnce(t *testing.T) {
	f := newTestGateway(t, &fakeWorkers{}, manyRetries)
	core, logged := observer.New(zap.WarnLevel)
	f.g.c.Logger = zap.New(core)
	m := newMembers(f.g)
	w := &tableWatcher{g: f.g, synced: true, rows: map[string]kumquatlug.Row{}}
	version := int64(0)
	apply := func(key, value string) {
		version++
		w.rows[key] = kumquatlug.NewRow(key, []byte(value), version)
		m.apply(kumquatlug.Millis(version), w)
	}
	const invalid, valid = `{`, `"decode"`
	for range 100 {
		apply("odd", invalid)
	}
	if lines := logged.TakeAll(); len(lines) != 1 || lines[0].ContextMap()["worker"] != "odd" || lines[0].ContextMap()["row"] != int64(1) {
		t.Errorf("%d lines, first %v", len(lines), lines[:min(len(lines), 1)])
	}
	apply("odd", valid)
	apply("odd", invalid)
	if n := len(logged.TakeAll()); n != 1 {
		t.Errorf("%d lines of a row that was valid in between", n)
	}
	for n := range 3000 {
		w.rows[fmt.Sprint("odd-", n)] = kumquatlug.NewRow(fmt.Sprint("odd-", n), []byte(invalid), int64(10_000+n))
	}
	m.apply(1000, w)
	if n := len(logged.TakeAll()); n > maxInvalidRows {
		t.Errorf("%d lines of 3,000 invalid rows", n)
	}
	apply("d9", valid)
	if _, served := m.current["d9"]; !served {
		t.Error("a valid row beside invalid ones is not applied")
	}
}

// Guards against thousands of entries that name services of their own, each of which would be kept, measured and locked
// for every request, and against workers that are not used once the config names their service.
func TestWorkersOfUnknownServicesAreNotScheduled(t *testing.T) {
	f := newTestGateway(t, &fakeWorkers{}, manyRetries)
	members := []kumquatlug.Member{member("s1", "")}
	for n := range 3000 {
		m := member(fmt.Sprint("odd-", n), kumquatlug.RoleDecode)
		m.Service = fmt.Sprint("service-", n)
		members = append(members, m)
	}
	f.g.publishMu.Lock()
	f.g.publish(1, members)
	f.g.publishMu.Unlock()
	if n := len(f.g.scheduler.services); n > 2 {
		t.Errorf("%d services are scheduled, the config has 2", n)
	}
	if n := len(f.g.streamVersions.services); n > 2 {
		t.Errorf("the versions of %d services are kept", n)
	}
	c := testConfig(8)
	c.Services = append(c.Services, kumquatlug.NewService(kumquatlug.ServiceConfig{Name: "service-7", Engine: true}))
	f.g.adopt(c, nil)
	if found := f.g.scheduler.presences("service-7"); len(found) != 1 {
		t.Errorf("workers %v of a service that was configured later", found)
	}
}
