package gateway

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Clients of one route wait for different times, by a sixth. Taken for clients
// that come back, half of all first tries would count as late on arrival and be
// refused in an overload, while their engines still have time for them. One that
// was refused and does come back has much less time left.
func TestShorterTimeoutIsNotARetry(t *testing.T) {
	sc := newScheduler(Config{})
	sc.recordArrival(0, "s", "r", 2000)
	if retryingFor := sc.recordArrival(0, "s", "r", 1700); retryingFor != 0 {
		t.Errorf("a client that waits 1.7 s counts as trying for %d ms", retryingFor)
	}
	if retryingFor := sc.recordArrival(0, "s", "r", 1300); retryingFor < 600 {
		t.Errorf("a client with 1.3 s left counts as trying for %d ms", retryingFor)
	}
	if retryingFor := sc.recordArrival(0, "s", "other", 1300); retryingFor != 0 {
		t.Errorf("routes are mixed up: %d ms", retryingFor)
	}
}

// Two routes ask for prompts of very different length. Judged by length alone the
// short ones would always be read last, though they are worth as much to their
// clients and take a tenth of the time.
func TestRequestValueIsRelativeToRoute(t *testing.T) {
	sc := newScheduler(Config{})
	long, short := kumquatlug.NewPrompt(nil, 17_000, 10), kumquatlug.NewPrompt(nil, 1400, 10)
	if a, b := sc.requestValue(0, "s", "long", "", long), sc.requestValue(0, "s", "short", "", short); a != b {
		t.Errorf("the mean request of one route is worth %.2f, of the other %.2f", a, b)
	}
	if twice := sc.requestValue(0, "s", "short", "", kumquatlug.NewPrompt(nil, 2900, 10)); twice <= 1 {
		t.Errorf("a request of twice the size is worth %.2f", twice)
	}
	if none := sc.requestValue(0, "s", "plain", "", kumquatlug.Prompt{}); none != 1 {
		t.Errorf("a request without a prompt is worth %.2f", none)
	}
}

// A front says that it stops and starts again. It may have nothing to ask of this one,
// whose reading of the rows must bring it back; else both name other fronts as the
// coordinators of some engines, and prompts stand in two queues there.
func TestRestartedPeerCoordinatesAgain(t *testing.T) {
	sc := newScheduler(Config{Name: "a", Fronts: noPeers{}, Logger: zap.NewNop()})
	all := []string{"a", "b", "c"}
	sc.setPeers(all, nil)
	engine := ""
	for i := 0; engine == "" || sc.coordinators.Coordinator(0, engine) != "b"; i++ {
		engine = fmt.Sprint("engine-", i)
	}
	sc.peerLeft("b")
	sc.setPeers(all, nil)
	if got := sc.coordinators.Coordinator(0, engine); got == "b" {
		t.Errorf("%s coordinates after it said that it stops", got)
	}
	sc.setPeers(all, []string{"b"})
	if got := sc.coordinators.Coordinator(0, engine); got != "b" {
		t.Errorf("%s coordinates what the front that is back did", got)
	}
}

// noPeers reaches nobody.
type noPeers struct{}

func (noPeers) Row() []byte                                            { return nil }
func (noPeers) Meet(map[string][]byte) (there, anew []string)          { return nil, nil }
func (noPeers) Send(kumquatlug.TurnMessage)                            {}
func (noPeers) TellConfig(string)                                      {}
func (noPeers) AskConfig(string, kumquatlug.ConfigAsk)                 {}
func (noPeers) GiveConfig(string, kumquatlug.ConfigPart)               {}
func (noPeers) Leave()                                                 {}
func (noPeers) Receive(context.Context, kumquatlug.FrontHandler) error { return nil }
