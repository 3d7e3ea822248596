package gateway

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// The timeouts of the clients of a route differ by a sixth. If shorter ones were taken
// for retries, half of all first requests would count as late on arrival and be refused
// in an overload, although there is still time for them. A client that retries after a
// refusal has much less time left.
func TestShorterTimeoutIsNotARetry(t *testing.T) {
	sc := newScheduler(Config{BootClock: clock.NewBoottime()})
	sc.recordArrival("s", "r", 2000, false)
	if retryingFor := sc.recordArrival("s", "r", 1700, false); retryingFor != 0 {
		t.Errorf("a client with a timeout of 1.7 s counts as retrying for %d ms", retryingFor)
	}
	if retryingFor := sc.recordArrival("s", "r", 1300, false); retryingFor < 600 {
		t.Errorf("a client with 1.3 s left counts as retrying for %d ms", retryingFor)
	}
	if retryingFor := sc.recordArrival("s", "other", 1300, false); retryingFor != 0 {
		t.Errorf("timeout of another route was used: %d ms", retryingFor)
	}
}

// Two routes have prompts of very different length. If value depended on length alone,
// the short ones would always be prefilled last, although they are worth as much to
// their clients and take a tenth of the time.
func TestRequestValueIsRelativeToRoute(t *testing.T) {
	sc := newScheduler(Config{BootClock: clock.NewBoottime()})
	long, short := kumquatlug.NewPrompt(nil, 17_000, 10), kumquatlug.NewPrompt(nil, 1400, 10)
	if a, b := sc.requestValue(0, "s", "long", "", long), sc.requestValue(0, "s", "short", "", short); a != b {
		t.Errorf("the mean requests of two routes have values %.2f and %.2f", a, b)
	}
	if double := sc.requestValue(0, "s", "short", "", kumquatlug.NewPrompt(nil, 2900, 10)); double <= 1 {
		t.Errorf("a request of twice the size has value %.2f", double)
	}
	if none := sc.requestValue(0, "s", "plain", "", kumquatlug.Prompt{}); none != 1 {
		t.Errorf("a request without a prompt has value %.2f", none)
	}
}

// A peer announces its shutdown and restarts. It may have no message for this gateway,
// so that the rows must bring it back. Otherwise the two would disagree about the
// coordinators of some engines, and prompts would be queued at both.
func TestRestartedPeerCoordinatesAgain(t *testing.T) {
	sc := newScheduler(Config{Name: "a", Peers: noLink{}, BootClock: clock.NewBoottime(), Logger: zap.NewNop()})
	all := []string{"a", "b", "c"}
	sc.setPeers(all, nil)
	engine := ""
	for i := 0; engine == "" || sc.coordinators.Coordinator(0, engine) != "b"; i++ {
		engine = fmt.Sprint("engine-", i)
	}
	sc.peerLeft("b")
	sc.setPeers(all, nil)
	if got := sc.coordinators.Coordinator(0, engine); got == "b" {
		t.Errorf("%s coordinates after it announced its shutdown", got)
	}
	sc.setPeers(all, []string{"b"})
	if got := sc.coordinators.Coordinator(0, engine); got != "b" {
		t.Errorf("%s coordinates instead of the restarted peer", got)
	}
}

// noLink is a [kumquatlug.GatewayLink] that reaches no peer.
type noLink struct{}

func (noLink) Row() []byte                                                   { return nil }
func (noLink) UpdatePeers(map[string][]byte) (reachable, restarted []string) { return nil, nil }
func (noLink) Send(kumquatlug.PermitMessage)                                 {}
func (noLink) SendPresence(string, kumquatlug.WorkerPresence)                {}
func (noLink) AnnounceSpeeds()                                               {}
func (noLink) AnnounceConfig(string)                                         {}
func (noLink) RequestConfig(string, kumquatlug.ConfigRequest)                {}
func (noLink) SendConfigPart(string, kumquatlug.ConfigPart)                  {}
func (noLink) SendStreamVersion(string, kumquatlug.StreamVersion)            {}
func (noLink) SendQuarantine(string, kumquatlug.QuarantineMessage)           {}
func (noLink) AnnounceStop()                                                 {}
func (noLink) Receive(context.Context, kumquatlug.GatewayHandler) error      { return nil }
