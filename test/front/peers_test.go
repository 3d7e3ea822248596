package front

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// maxPromptTime bounds the duration of a prompt while the coordinator of its engine is
// paused: two permit requests that wait 25 ms each for a response, the checks between them
// and the prefill.
const maxPromptTime = 1500 * time.Millisecond

// newThreeGateways starts a site with ten engines and three gateways, and waits until they
// have discovered each other.
func newThreeGateways(t *testing.T) []*process {
	t.Helper()
	s := newSite(t, site.Config{PrefillEngines: 8, DecodeEngines: 2, PlainWorkers: 1, Events: 2, EventDelay: time.Millisecond})
	gateways := []*process{newGateway(t, s, "front-1"), newGateway(t, s, "front-2"), newGateway(t, s, "front-3")}
	eventually(t, "the gateways have discovered each other", func() bool {
		for _, p := range gateways {
			id := fmt.Sprintf("meet-%d", time.Now().UnixNano())
			requireComplete(t, p.longPrompt(id), streamBody(id, 2))
		}
		return len(gateways[0].log("fronts met", `"there":3`)) > 0
	})
	return gateways
}

// sendLongPrompts sends count long prompts with distinct prefix chains through a gateway,
// four at a time, and returns the longest duration. Every response must be complete.
func sendLongPrompts(t *testing.T, p *process, name string, count int) time.Duration {
	t.Helper()
	var mu sync.Mutex
	var group sync.WaitGroup
	longest := time.Duration(0)
	for worker := range 4 {
		group.Add(1)
		chain := string(rune('b' + worker))
		go func() {
			defer group.Done()
			for i := range count / 4 {
				id := fmt.Sprintf("%s-%d-%d", name, worker, i)
				started := time.Now()
				got := p.do(context.Background(), http.MethodPost, site.PathResumable+"x", id, map[string]string{
					"Model": "m", "Token-Count": "9190,104", "Prefix-Hash": fmt.Sprintf("aa:2520,%s%d:3780,%s:2890", chain, i, id),
				})
				took := time.Since(started)
				mu.Lock()
				longest = max(longest, took)
				mu.Unlock()
				if got.err != nil || got.status != http.StatusOK || got.body != streamBody(id, 2) {
					t.Errorf("%s: %+v", id, got)
				}
			}
		}()
	}
	group.Wait()
	return longest
}

// A gateway that coordinates engines is paused by a debugger, an overcommitted host or a
// snapshot: its port accepts datagrams, but no response comes. Prompts for which other
// gateways requested a permit must proceed without it, or their users would wait until they
// give up.
// After it resumes, it must receive requests again.
func TestPausedGatewayDelaysNoPrompt(t *testing.T) {
	gateways := newThreeGateways(t)
	gateways[2].signal(syscall.SIGSTOP)
	longest := sendLongPrompts(t, gateways[0], "stopped", 80)
	gateways[2].signal(syscall.SIGCONT)
	if longest > maxPromptTime {
		t.Errorf("a prompt took %v, want at most maxPromptTime", longest)
	}
	if len(gateways[0].log("front away", `"front":"front-3"`)) == 0 {
		t.Error("no gateway was found unreachable: the paused one coordinated no engine")
	}
	eventually(t, "the resumed gateway receives permit requests again", func() bool {
		sendLongPrompts(t, gateways[0], fmt.Sprint("back", time.Now().UnixNano()), 16)
		return len(gateways[0].log("front back", `"front":"front-3"`)) > 0
	})
}

// A gateway is killed and restarted on the same address with a new key, three times, while
// another gateway sends prompts. Every prompt must get a complete response.
func TestAFrontThatIsKilledAgainAndAgainCostsNoPrompt(t *testing.T) {
	gateways := newThreeGateways(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 {
			gateways[2].signal(os.Kill)
			<-gateways[2].done
			gateways[2].start()
			gateways[2].waitReady()
		}
	}()
	longest := time.Duration(0)
	for round := range 6 {
		longest = max(longest, sendLongPrompts(t, gateways[0], fmt.Sprint("killed", round), 40))
	}
	<-done
	if longest > maxPromptTime {
		t.Errorf("a prompt took %v, want at most maxPromptTime", longest)
	}
}

// A gateway that coordinates engines gets a stop signal. Its peers must be notified and
// send it no more permit requests; otherwise each of them detects the stop only through
// prompts that wait.
func TestGatewayShuttingDownNotifiesPeers(t *testing.T) {
	gateways := newThreeGateways(t)
	sendLongPrompts(t, gateways[0], "known", 80)
	gateways[2].signal(syscall.SIGTERM)
	eventually(t, "the peers are notified", func() bool { return len(gateways[0].log("front stops", `"front":"front-3"`)) > 0 })
	if longest := sendLongPrompts(t, gateways[0], "stopping", 40); longest > maxPromptTime {
		t.Errorf("a prompt took %v, want at most maxPromptTime", longest)
	}
	if unreachable := gateways[0].log("front away"); len(unreachable) > 0 {
		t.Errorf("a peer found the gateway unreachable before it was notified: %s", unreachable)
	}
}
