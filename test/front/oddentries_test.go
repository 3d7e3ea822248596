package front

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func engineRow(address, stage string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":32,"state":"ready","sequence":1,"born":1764700000000,"stage":%q}`,
		site.EngineService, address, site.Zone, stage)
}

// Separate processes. Guards against a split of the roles that counts an entry at which no engine answers, and orders the
// engines that decode to prefill.
func TestEntryOfAbsentEngineTakesNoEngineFromItsRole(t *testing.T) {
	for name, address := range map[string]string{"invalid port": "127.0.0.1:99999", "nothing listens": unusedAddress(t)} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, site.Config{PrefillEngines: 1, DecodeEngines: 1, PlainWorkers: 1, Events: 10, EventDelay: 5 * time.Millisecond, MinRetries: 400})
			reportStages(t, s)
			p := newGateway(t, s, "front-0")
			sleep(2 * time.Second)
			s.Store.Put("servers", "odd-1", engineRow(address, "decode"))
			served := 0
			const chats = 60
			for n := range chats {
				if got := p.chat(fmt.Sprint("chat-", n)); got.err == nil && got.status == http.StatusOK {
					served++
				}
				sleep(100 * time.Millisecond)
			}
			t.Logf("%d of %d chats served, stages %v", served, chats, stages(s.Engines))
			if orders := p.log(`"msg":"order"`); len(orders) > 0 {
				t.Errorf("orders %q", orders)
			}
			if served < chats-2 {
				t.Errorf("%d of %d chats served", served, chats)
			}
		})
	}
}

// oddRows are rows that other writers leave among those of the workers.
func oddRows(address string) map[string]string {
	field := func(name, value string) string {
		row := map[string]string{
			"service": `"` + site.EngineService + `"`, "address": `"` + address + `"`, "zone": `"` + site.Zone + `"`, "slots": "32", "state": `"ready"`, "stage": `"decode"`, "born": "5",
		}
		row[name] = value
		var parts []string
		for name, value := range row {
			parts = append(parts, fmt.Sprintf("%q:%s", name, value))
		}
		return "{" + strings.Join(parts, ",") + "}"
	}
	rows := map[string]string{
		"empty": "", "bytes": "\xff\xfe\x00", "null": "null", "list": "[]", "nested": strings.Repeat("[", 15_000), "nested-field": field("x", strings.Repeat(`{"a":`, 9_000)+"1"+strings.Repeat("}", 9_000)),
		"key\r\nwith: a line break": field("x", "1"), "ключ/../%00?": field("x", "1"), " ": field("x", "1"),
	}
	for _, name := range []string{"service", "address", "zone", "slots", "state", "stage", "born", "version", "cold_remaining_ms", "sequence"} {
		for i, value := range []string{"1e400", "-1", "1e300", "null", "true", `""`, `"x"`, "[[]]", "{}", `"` + strings.Repeat("y", 20_000) + `"`} {
			rows[fmt.Sprint(name, "-", i)] = field(name, value)
		}
	}
	for i, port := range []string{"-1", "0", "65536", "99999", "12345678901234567890", "http", ""} {
		rows[fmt.Sprint("port-", i)] = field("address", `"127.0.0.1:`+port+`"`)
	}
	return rows
}

// Separate processes. Guards against a gateway that ends or stops following the workers because of rows of another
// writer: odd ones of each kind, thousands of them, and ones that replace the rows of sound workers for a while.
func TestOddEntriesStopNoGateway(t *testing.T) {
	s := newSite(t, site.Config{PrefillEngines: 2, DecodeEngines: 2, PlainWorkers: 2, Events: 5, EventDelay: 2 * time.Millisecond, MinRetries: 1000})
	p := newGateway(t, s, "front-0")
	requireServed := func(when string) {
		t.Helper()
		served := 0
		for n := range 20 {
			if got := p.lookup(fmt.Sprint(when, "-", n)); got.err == nil && got.status == http.StatusOK {
				served++
			}
			if got := p.chat(fmt.Sprint(when, "-chat-", n)); got.err == nil && got.status == http.StatusOK {
				served++
			}
		}
		if served < 38 {
			t.Errorf("%s: %d of 40 requests served", when, served)
		}
	}
	requireServed("before")
	for key, value := range oddRows(unusedAddress(t)) {
		s.Store.Put("servers", key, []byte(value))
	}
	requireServed("odd")
	for n := range 3000 {
		s.Store.Put("servers", fmt.Sprint("many-", n), []byte(`{"address":"127.0.0.1:99999","n":`+strconv.Itoa(n)+`}`))
	}
	requireServed("thousands")
	for round := range 20 {
		for _, w := range s.PlainWorkers {
			s.Store.Put("servers", s.ID(w), []byte(`{"service":7}`))
		}
		sleep(100 * time.Millisecond)
		for _, w := range s.PlainWorkers {
			s.WriteWorkerRow(w, "ready")
		}
		sleep(time.Duration(round) * 10 * time.Millisecond)
	}
	sleep(2 * time.Second)
	requireServed("restored")
	first := p
	p = newGateway(t, s, "front-1")
	requireServed("started")
	s.DeleteWorkerRow(s.PlainWorkers[0])
	sleep(4 * time.Second)
	requireServed("follows")
	for id, runs := range s.PlainWorkers[0].Runs() {
		if strings.HasPrefix(id, "follows") && runs > 0 {
			t.Errorf("%s ran at a worker whose row was removed", id)
		}
	}
	if lines := len(first.log("invalid worker row ignored")); lines == 0 || lines > 60 {
		t.Errorf("%d log lines about invalid rows", lines)
	}
	for _, gateway := range []*process{first, p} {
		select {
		case <-gateway.done:
			t.Errorf("%s has ended", gateway.name)
		default:
		}
	}
}
