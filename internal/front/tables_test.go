package front

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// tableMessages records the messages about tables, by recorder.
type tableMessages struct {
	states chan []kumquatlug.TableState
	asks   chan kumquatlug.TableAsk
	parts  chan kumquatlug.TablePart
}

// testTables receives the messages about tables of all recorders of a test.
var testTables = tableMessages{
	states: make(chan []kumquatlug.TableState, 64), asks: make(chan kumquatlug.TableAsk, 64), parts: make(chan kumquatlug.TablePart, 64),
}

func (h *handlerRecorder) TableStates() []kumquatlug.TableState {
	if h.configVersion.Load() != tableTestVersion {
		return nil
	}
	return []kumquatlug.TableState{
		{Table: "servers", Era: 1, Version: 1<<40 | 7, Age: 12}, {Table: "op", Era: 1, Version: 1<<40 | 3, Age: -1}, {Table: "kumquatlug-plan", Era: 1, Version: 1<<40 | 9, Age: 2000},
	}
}

func (h *handlerRecorder) TableStatesReceived(_ string, _ kumquatlug.ConfigState, states []kumquatlug.TableState) {
	testTables.states <- states
}
func (h *handlerRecorder) TableAsked(_ string, ask kumquatlug.TableAsk) { testTables.asks <- ask }
func (h *handlerRecorder) TablePartReceived(_ string, part kumquatlug.TablePart) {
	testTables.parts <- part
}

// tableTestVersion is the version of the config at gateways that announce tables.
const tableTestVersion = 77

// A part of the largest size, with the states of three tables and a hello, must fit a
// datagram. Otherwise workers would remain unknown at gateways that don't read the store.
func TestTableMessagesArrive(t *testing.T) {
	name := strings.Repeat("front-", 10)
	first, second := newTestGateway(t, "first", "127.0.0.1:0"), newTestGateway(t, name, "127.0.0.1:0")
	second.received.configVersion.Store(tableTestVersion)
	second.addPeers(first)
	part := kumquatlug.TablePart{Table: "servers", Era: 1, After: 1<<40 | 3, Version: 1<<40 | 7, Part: 2, Parts: 5}
	for i := range 6 {
		part.Rows = append(part.Rows, kumquatlug.TableRow{Key: "worker-" + strings.Repeat("w", 10), Value: bytes.Repeat([]byte{byte(i)}, 80), Version: 1<<40 | 7})
	}
	part.Rows = append(part.Rows, kumquatlug.TableRow{Key: "gone", Version: 1<<40 | 6, Removed: true})
	second.SendTablePart("first", part)
	ask := kumquatlug.TableAsk{Table: "servers", Era: 1, After: 1<<40 | 5}
	second.AskTable("first", ask)
	second.AnnounceTables("first")
	timeout := time.After(5 * time.Second)
	states := 0
	for received := 0; received < 5; received++ {
		select {
		case got := <-testTables.parts:
			if !reflect.DeepEqual(got, part) {
				t.Errorf("received %+v", got)
			}
		case got := <-testTables.asks:
			if got != ask {
				t.Errorf("received %+v", got)
			}
		case got := <-testTables.states:
			states++
			if !reflect.DeepEqual(got, second.received.TableStates()) {
				t.Errorf("received %+v", got)
			}
		case <-timeout:
			t.Fatalf("%d messages received", received)
		}
	}
	if states != 3 {
		t.Errorf("%d datagrams with states", states)
	}
	rates := first.LinkRates(map[string][]byte{"a": []byte(`{"link_bytes_per_ms":1250}`), "b": []byte(`{}`), "c": []byte("x")})
	if rates["a"] != 1250 || rates["b"] != 0 || rates["c"] != 0 {
		t.Errorf("rates %v", rates)
	}
}
