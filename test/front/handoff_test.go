package front

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// newLinkedGateway starts a gateway on a machine with a link of this rate in Mbit/s, and waits
// until it is ready.
func newLinkedGateway(t *testing.T, s *site.Site, name string, linkMbps float64) *process {
	t.Helper()
	settings, clientAddr, readyAddr, err := s.GatewaySettingsWithLink(name, linkMbps)
	if err != nil {
		t.Fatal(err)
	}
	return startGateway(t, name, settings, clientAddr, readyAddr, "--log-level", "debug")
}

// newHandoffPair starts a site with a gateway whose link has 10 Mbit/s and a peer with 200
// Mbit/s, and waits until the first hands requests off to the second.
func newHandoffPair(t *testing.T, events int, delay time.Duration) (s *site.Site, low, high *process) {
	t.Helper()
	// The split matches the planned one: a change of an engine's role would move streams, and
	// the stand-in counts a moved stream as a second run.
	s = newSite(t, site.Config{PrefillEngines: 4, DecodeEngines: 2, PlainWorkers: 1, Events: events, EventDelay: delay})
	high = newLinkedGateway(t, s, "front-high", 200)
	low = newLinkedGateway(t, s, "front-low", 10)
	eventually(t, "requests are handed off", func() bool {
		id := fmt.Sprintf("meet-%d", time.Now().UnixNano())
		// The client leaves at once: only the arrival at the peer matters.
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		low.do(ctx, http.MethodPost, site.PathNonResumable+"x", id, map[string]string{"Model": "m", "Token-Count": "220,400", "Prefix-Hash": "cc:80,x:140"})
		return len(high.log("handed-off request received", id)) > 0
	})
	return s, low, high
}

// handedOff reports whether the peer received a request.
func handedOff(high *process, id string) bool {
	return len(high.log("handed-off request received", `"`+id+`"`)) > 0
}

// Streams through a gateway with a low-bandwidth link are served by the peer and arrive whole;
// plain requests stay. Clients' keys reach the peer but no worker, a wrong key is denied, and
// the headers of handed-off requests affect nothing at the clients' listener.
func TestRequestsAreHandedOff(t *testing.T) {
	s, low, high := newHandoffPair(t, 20, 2*time.Millisecond)
	for i := range 10 {
		long, chat, post := fmt.Sprint("long-", i), fmt.Sprint("chat-", i), fmt.Sprint("post-", i)
		requireComplete(t, low.longPrompt(long), streamBody(long, 20))
		requireComplete(t, low.chat(chat), streamBody(chat, 20))
		requireComplete(t, low.post(post), fleet.ResponseBody(post))
		for _, id := range []string{long, chat} {
			answered := func(p *process) int { return len(p.log(`"answered"`, `"`+id+`"`)) }
			eventually(t, id+" is logged", func() bool { return answered(low)+answered(high) > 0 })
			if answered(low)+answered(high) != 1 || (answered(high) == 1) != handedOff(high, id) {
				t.Errorf("%s was not logged once, at the gateway that served it", id)
			}
			// On a busy machine an offer may not be answered in time; that is logged.
			if !handedOff(high, id) && len(low.log("handoff peer unresponsive")) == 0 {
				t.Errorf("%s was not handed off", id)
			}
		}
		if handedOff(high, post) {
			t.Errorf("%s was handed off", post)
		}
		if totalRuns(s.Engines, long) != 1 || totalRuns(s.Engines, chat) != 1 || totalRuns(s.PlainWorkers, post) != 1 {
			t.Errorf("round %d: a request ran twice", i)
		}
	}
	s.SetAccounts(map[string][]string{"north": {"k1"}})
	headers := longPromptHeaders("keyed")
	headers["Key"], headers["Kumquatlug-Handoff-From"], headers["Kumquatlug-Handoff-Key"] = "k1", "front-high", "1"
	send := func() response {
		return low.do(context.Background(), http.MethodPost, site.PathResumable+"x", "keyed", headers)
	}
	eventually(t, "the accounts are in force", func() bool { return low.longPrompt("none").status == http.StatusUnauthorized })
	eventually(t, "the account is in force at the peer", func() bool {
		return send().body == streamBody("keyed", 20) && handedOff(high, "keyed")
	})
	for _, w := range s.Engines {
		for _, h := range w.ReceivedHeaders() {
			if h.Get("Key") != "" || h.Get("Kumquatlug-Handoff-From") != "" || h.Get("Kumquatlug-Handoff-Proof") != "" {
				t.Fatalf("a worker received %v", h)
			}
		}
	}
	headers["Key"] = "k2"
	if got := send(); got.status != http.StatusUnauthorized {
		t.Errorf("wrong key: status %d", got.status)
	}
}

// The peer is killed, frozen or shut down while streams run through it. Resumable streams must be
// complete, the others must not run twice, and later requests must be served without the peer.
func TestPeerFailsWithHandedOffRequests(t *testing.T) {
	for name, c := range map[string]struct {
		signal syscall.Signal
		// chatsComplete is set if streams that may run once only survive.
		chatsComplete bool
		// delay is the time before each event. The streams of the peer that shuts down take
		// until shortly before its exit, when it accepts no more connections.
		delay time.Duration
	}{
		"killed":   {syscall.SIGKILL, false, 15 * time.Millisecond},
		"frozen":   {syscall.SIGSTOP, false, 15 * time.Millisecond},
		"stopping": {syscall.SIGTERM, true, 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s, low, high := newHandoffPair(t, 60, c.delay)
			const streams = 6
			type result struct {
				id  string
				got response
			}
			results := make(chan result, 2*streams)
			for i := range streams {
				long, chat := fmt.Sprint("long-", i), fmt.Sprint("chat-", i)
				go func() { results <- result{long, low.longPrompt(long)} }()
				go func() { results <- result{chat, low.chat(chat)} }()
			}
			eventually(t, "all streams run", func() bool {
				for i := range streams {
					if totalRuns(s.Engines, fmt.Sprint("long-", i)) == 0 || totalRuns(s.Engines, fmt.Sprint("chat-", i)) == 0 {
						return false
					}
				}
				return true
			})
			high.signal(c.signal)
			started := time.Now()
			requireComplete(t, low.longPrompt("later-0"), streamBody("later-0", 60))
			t.Logf("a later prompt took %v", time.Since(started))
			complete := 0
			for range 2 * streams {
				r := <-results
				runs := totalRuns(s.Engines, r.id)
				if strings.HasPrefix(r.id, "long") || c.chatsComplete {
					requireComplete(t, r.got, streamBody(r.id, 60))
				}
				if strings.HasPrefix(r.id, "chat") && runs != 1 || runs > 2 {
					t.Errorf("%s ran %d times", r.id, runs)
				}
				if !strings.HasPrefix(streamBody(r.id, 60), r.got.body) && r.got.status == http.StatusOK {
					t.Errorf("%s: events are missing or repeated in %q", r.id, r.got.body)
				}
				if r.got.body == streamBody(r.id, 60) {
					complete++
				}
			}
			t.Logf("%d of %d streams complete", complete, 2*streams)
		})
	}
}

// The peer freezes and resumes under continuous load, once for longer than clients wait. No request may run twice, a refusal that
// states that the request did not run must be true also after the peer resumed, and requests are
// handed off again.
func TestRefusalsHoldAfterPeerResumes(t *testing.T) {
	s, low, high := newHandoffPair(t, 5, 5*time.Millisecond)
	stop := make(chan struct{})
	refused := make(chan string, 10_000)
	chats := startLoad([]*process{low, low, low, low}, 5*time.Millisecond, stop, "once", func(p *process, id string) response {
		got := p.do(context.Background(), http.MethodPost, site.PathNonResumable+"x", id, map[string]string{
			"Model": "m", "Token-Count": "220,400", "Prefix-Hash": "cc:80," + id + ":140", "Deadline-Ms": "1500",
		})
		if got.status == http.StatusServiceUnavailable {
			refused <- id
		}
		return got
	})
	sleep(300 * time.Millisecond)
	for _, frozen := range []time.Duration{400 * time.Millisecond, 2200 * time.Millisecond, 400 * time.Millisecond} {
		high.signal(syscall.SIGSTOP)
		sleep(frozen)
		high.signal(syscall.SIGCONT)
		sleep(1500 * time.Millisecond)
	}
	close(stop)
	result := chats()
	sleep(500 * time.Millisecond)
	close(refused)
	for id := range refused {
		if n := totalRuns(s.Engines, id); n != 0 {
			t.Errorf("%s was refused as not run, but ran %d times", id, n)
		}
	}
	for _, w := range s.Engines {
		for id := range w.Runs() {
			if n := totalRuns(s.Engines, id); n > 1 {
				t.Errorf("%s ran %d times; streams moved: %d", id, n, w.MovedStreams())
			}
		}
	}
	if len(low.log("handoff peer unresponsive")) == 0 || len(low.log("handoff peer responsive")) == 0 {
		t.Error("the freeze was not logged")
	}
	t.Logf("%d succeeded, %d failed, last failure %+v", result.succeeded, result.failed, result.lastFailure)
	if result.succeeded < 10*result.failed {
		t.Errorf("%d succeeded, %d failed", result.succeeded, result.failed)
	}
}
