package front

import (
	"fmt"
	"net"
	"net/http"
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
