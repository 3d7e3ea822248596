package placement

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Twenty-eight gateways send prompts to six engines at one and a half times the prefill
// capacity. Without coordination each gateway gives an engine a prompt whenever it has
// none of its own there, so that two dozen wait in the engine's own queue, in order of
// arrival, and nearly all responses are late. With a single queue nearly as many
// prompts must be in time as if all arrived through one gateway.
func TestManyGatewaysServeAsManyInTimeAsOne(t *testing.T) {
	rate := 1.5 * 6 * prefillTokensPerMs / 3300 * 1000
	play := func(gateways int, coordinated bool) float64 {
		c := newGatewayCluster(gateways, 6, coordinated)
		c.play(1, 6000, rate)
		return c.inTime(1000, 5000)
	}
	single, independent, coordinated := play(1, true), play(28, false), play(28, true)
	t.Logf("in time: one gateway %.3f, 28 independent %.3f, 28 coordinated %.3f", single, independent, coordinated)
	if coordinated < 0.9*single || independent > 0.7*single {
		t.Errorf("in time: one gateway %.3f, 28 independent %.3f, 28 coordinated %.3f", single, independent, coordinated)
	}
}

// A gateway that coordinates engines loses power while prompts wait there, and the
// others are not notified. A prompt may wait for it twice requestRetryAfter and the
// interval between checks. Then it must go elsewhere, together with all others
// requested there, and two seconds later as many prompts must be in time as before.
func TestUnresponsiveCoordinatorDoesNotDelayPrompts(t *testing.T) {
	rate := 0.3 * 6 * prefillTokensPerMs / 3300 * 1000
	c := newGatewayCluster(5, 6, true)
	c.play(1, 2000, rate)
	unresponsive := c.gatewayIndex(c.coordinators[0].Coordinator(2000, "p0"))
	c.offline[unresponsive] = true
	c.play(2000, 6000, rate)
	// Prompts are in time at this load; one may wait its target latency for its permit.
	if hold := c.maxHold(1500, 6000); hold > targetLatencyMs+150 {
		t.Errorf("a prompt was queued for %d ms", hold)
	}
	before, after := c.inTime(500, 1900), c.inTime(4000, 5700)
	if after < before-0.05 {
		t.Errorf("in time: %.3f before, %.3f after", before, after)
	}
}

// A gateway that coordinates engines freezes for three seconds and then handles what is
// left in its socket. If it granted permits for prompts that went elsewhere meanwhile,
// the engines would get all of them at once, and all prompts behind them would be late.
func TestResumedCoordinatorGrantsNoBurst(t *testing.T) {
	rate := 0.6 * 6 * prefillTokensPerMs / 3300 * 1000
	c := newGatewayCluster(5, 6, true)
	c.play(1, 2000, rate)
	frozen := c.gatewayIndex(c.coordinators[0].Coordinator(2000, "p0"))
	before := c.maxEngineQueue
	c.offline[frozen] = true
	c.play(2000, 5000, rate)
	c.offline[frozen] = false
	c.maxEngineQueue = 0
	c.play(5000, 9000, rate)
	if c.maxEngineQueue > before+maxPrefills+2 {
		t.Errorf("%d prompts queued at one engine, %d before", c.maxEngineQueue, before)
	}
	if after := c.inTime(6500, 8700); after < c.inTime(500, 1900)-0.05 {
		t.Errorf("in time after it resumed: %.3f", after)
	}
}

// A gateway gets permits and crashes before it releases them. Without expiry its
// prompts would count as in flight at the engine for ever, and the others would get
// fewer permits with each gateway that crashes.
func TestPermitsOfCrashedGatewayExpire(t *testing.T) {
	c := newGatewayCluster(3, 2, true)
	at := c.gatewayIndex(c.coordinators[0].Coordinator(0, "p0"))
	p := c.gateways[at]
	for key := range uint64(maxPrefills + 1) {
		p.HandleRequest(10, kumquatlug.PermitMessage{Gateway: "front-9", Permit: kumquatlug.Permit{
			Step: kumquatlug.PermitRequested, Engine: "p0", Key: key, Prompt: document(1, int(key)), ClientTimeout: 2000, HasLatencyTarget: true, LatencyTarget: 200,
		}})
	}
	p.Due(10)
	granted := 0
	for _, m := range p.Outbox() {
		if m.Permit.Step == kumquatlug.PermitGranted {
			granted++
		}
	}
	if granted != maxPrefills {
		t.Fatalf("%d permits were sent", granted)
	}
	p.Due(1000)
	if w := p.workers["p0"]; w.prefills != 0 || len(w.permits) != 0 || len(w.queue) != 0 || w.prefillTokens != 0 {
		t.Errorf("%d in flight, %d permits, %d queued, %.0f tokens", w.prefills, len(w.permits), len(w.queue), w.prefillTokens)
	}
}

// The client of a prompt that waits at a coordinator disconnects. Without a release the
// coordinator would keep a permit for it.
func TestClientDisconnectReleasesPermit(t *testing.T) {
	c := newGatewayCluster(2, 1, true)
	requester := 1 - c.gatewayIndex(c.coordinators[0].Coordinator(0, "p0"))
	p := c.gateways[requester]
	if result, _, _ := p.Submit(5, 7, Query{Prompt: document(1, 1), FirstOutputDue: 205, Deadline: 2005}); result != SubmissionQueued {
		t.Fatalf("submission: %q", result)
	}
	p.Outbox()
	p.Cancel(7)
	out := p.Outbox()
	if len(out) != 1 || out[0].Permit.Step != kumquatlug.PermitReleased || out[0].Permit.Key != 7 || p.Waiting() != 0 {
		t.Errorf("sent %+v, %d queued", out, p.Waiting())
	}
	// A permit that was already sent is released, too.
	if _, ended := p.HandleResponse(9, kumquatlug.PermitMessage{Gateway: gatewayName(1 - requester), Permit: kumquatlug.Permit{Step: kumquatlug.PermitGranted, Engine: "p0", Key: 7}}); ended {
		t.Error("a cancelled prompt was sent")
	}
	if out = p.Outbox(); len(out) != 1 || out[0].Permit.Step != kumquatlug.PermitReleased || out[0].Permit.Engine != "p0" {
		t.Errorf("sent %+v", out)
	}
}

// A permit arrives after its prompt was sent elsewhere. If the release didn't name the
// engine, the coordinator would ignore it, and the engine would look busy until the
// permit expires.
func TestLatePermitIsReleased(t *testing.T) {
	coordinator, request := newCoordinator()
	granted := request(10, 1, 7)[0]
	if granted.Step != kumquatlug.PermitGranted || granted.Engine != "p0" {
		t.Fatalf("granted %+v", granted)
	}
	gateway := New(Config{Zone: "a"})
	if _, ended := gateway.HandleResponse(20, kumquatlug.PermitMessage{Gateway: "front-0", Permit: granted}); ended {
		t.Fatal("a prompt that went elsewhere was sent")
	}
	out := gateway.Outbox()
	if len(out) != 1 || out[0].Permit.Step != kumquatlug.PermitReleased || out[0].Permit.Engine != "p0" {
		t.Fatalf("sent %+v", out)
	}
	coordinator.HandleRequest(21, kumquatlug.PermitMessage{Gateway: "front-9", Permit: out[0].Permit})
	if w := coordinator.workers["p0"]; len(w.permits) != 0 || w.prefills != 0 || w.prefillTokens != 0 {
		t.Errorf("%d permits, %d in flight, %.0f tokens", len(w.permits), w.prefills, w.prefillTokens)
	}
}

// A prompt is requested at one engine and then at another of the same coordinator. If
// the permit for the first, still in transit, were accepted, the prompt would be sent
// to the second, where another prompt has the permit.
func TestPermitForAnotherEngineIsReleased(t *testing.T) {
	c := newGatewayCluster(2, 1, true)
	at := c.gatewayIndex(c.coordinators[0].Coordinator(0, "p0"))
	p := c.gateways[1-at]
	if result, _, _ := p.Submit(5, 7, Query{Prompt: document(1, 1), FirstOutputDue: 205, Deadline: 2005}); result != SubmissionQueued {
		t.Fatalf("submission: %q", result)
	}
	p.Outbox()
	permit := kumquatlug.Permit{Step: kumquatlug.PermitGranted, Engine: "p9", Key: 7}
	if _, ended := p.HandleResponse(9, kumquatlug.PermitMessage{Gateway: gatewayName(at), Permit: permit}); ended {
		t.Error("a permit for another engine was accepted")
	}
	if out := p.Outbox(); len(out) != 1 || out[0].Permit.Step != kumquatlug.PermitReleased || out[0].Permit.Engine != "p9" {
		t.Errorf("sent %+v", out)
	}
	if p.Waiting() != 1 {
		t.Errorf("%d prompts queued", p.Waiting())
	}
}

// Two gateways disagree on who coordinates an engine, as while a new one is being
// discovered or one with an older software version is running. The prompt must use its
// own gateway's queue; if it were requested again and again, it would wait until its
// client disconnects.
func TestNonCoordinatorRespondsUnknown(t *testing.T) {
	c := newGatewayCluster(2, 1, true)
	at := c.gatewayIndex(c.coordinators[0].Coordinator(0, "p0"))
	p := c.gateways[1-at]
	p.Submit(5, 7, Query{Prompt: document(1, 1), FirstOutputDue: 205, Deadline: 2005})
	request := p.Outbox()[0].Permit
	c.coordinators[at].StopCoordinating()
	c.gateways[at].HandleRequest(6, kumquatlug.PermitMessage{Gateway: gatewayName(1 - at), Permit: request})
	response := c.gateways[at].Outbox()[0].Permit
	if response.Step != kumquatlug.PermitNotCoordinator {
		t.Fatalf("response %q", response.Step)
	}
	p.HandleResponse(7, kumquatlug.PermitMessage{Gateway: gatewayName(at), Permit: response})
	due := p.Due(7)
	if len(due) != 1 || due[0].Key() != 7 || due[0].Attempt() == nil {
		t.Errorf("due %+v", due)
	}
}

// Whichever messages are lost, and whichever gateway freezes when: each prompt at a
// gateway that is online ends once, and after all have ended no engine counts anything
// as in flight.
func TestPromptsEndOnceUnderMessageLoss(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("each prompt ends once", prop.ForAll(func(lost float64, cut, from, span int) string {
		c := newGatewayCluster(4, 3, true)
		c.lossRate = lost
		c.play(1, kumquatlug.Millis(from), 150)
		c.offline[cut] = true
		c.play(kumquatlug.Millis(from), kumquatlug.Millis(from+span), 150)
		c.offline[cut] = false
		c.lossRate = 0
		last := kumquatlug.Millis(from + span + clientTimeoutMs + 3000)
		for now := kumquatlug.Millis(from + span); now < last; now++ {
			c.tick(now)
		}
		return c.findFault(cut)
	}, gen.Float64Range(0, 0.5), gen.IntRange(0, 3), gen.IntRange(200, 900), gen.IntRange(0, 1500)))
	properties.TestingRun(t)
}

// With thirty gateways each gets a load report of a decode engine only every half
// second, while streams run for seconds. An engine that looks idle for lack of a report
// would be given long prompts to prefill beside them, and each of its streams would
// pause.
func TestUnreportedDecodeEngineIsNotAssumedIdle(t *testing.T) {
	p := New(Config{Zone: "a"})
	p.Sync(0, []kumquatlug.Member{clusterEngine("d0", kumquatlug.RoleDecode), clusterEngine("d1", kumquatlug.RoleDecode), clusterEngine("p0", kumquatlug.RolePrefill)})
	for i := range 200 {
		p.ReportLoad(kumquatlug.Millis(i), "d0", kumquatlug.NewWorkerLoad(6, 0, 12))
	}
	if others := p.otherRequestsAt(5000, p.workers["d1"]); others < 5 {
		t.Errorf("%.1f requests estimated at a decode engine without a report", others)
	}
	if others := p.otherRequestsAt(5000, p.workers["p0"]); others != 0 {
		t.Errorf("%.1f requests estimated at a prefill engine without a report", others)
	}
}

// newCoordinator returns the gateway that coordinates p0, and a function that requests
// a permit for a prompt of a prefix from another gateway.
func newCoordinator() (*Placer, func(now kumquatlug.Millis, prefix, key int) []kumquatlug.Permit) {
	c := newGatewayCluster(2, 1, true)
	p := c.gateways[c.gatewayIndex(c.coordinators[0].Coordinator(0, "p0"))]
	return p, func(now kumquatlug.Millis, prefix, key int) []kumquatlug.Permit {
		p.HandleRequest(now, kumquatlug.PermitMessage{Gateway: "front-9", Permit: kumquatlug.Permit{
			Step: kumquatlug.PermitRequested, Engine: "p0", Key: uint64(key), Prompt: document(prefix, key), ClientTimeout: 2000,
		}})
		p.Due(now)
		var responses []kumquatlug.Permit
		for _, m := range p.Outbox() {
			responses = append(responses, m.Permit)
		}
		return responses
	}
}

// releasePrompt releases the permit of a prompt that has been prefilled.
func releasePrompt(p *Placer, now kumquatlug.Millis, key int) {
	p.HandleRequest(now, kumquatlug.PermitMessage{Gateway: "front-9", Permit: kumquatlug.Permit{Step: kumquatlug.PermitReleased, Engine: "p0", Key: uint64(key)}})
}

// At startup engines have nothing cached, and later unused parts are evicted. If a
// coordinator assumed that its engines had all shared prefixes cached, it would give
// them several times what they prefill in time, attempts would be given up as lost, and
// what had been prefilled for them would be prefilled again elsewhere.
func TestCoordinatorTracksEngineCache(t *testing.T) {
	p, request := newCoordinator()
	p.SetKVCapacity(30_000)
	whole, own := document(1, 1).Input(), int(p.unsharedTokens(document(1, 2)))
	if got := request(10, 1, 1)[0].UncachedTokens; got != whole {
		t.Errorf("first prompt of a prefix: %d tokens to prefill, want %d", got, whole)
	}
	releasePrompt(p, 50, 1)
	if got := request(60, 1, 2)[0].UncachedTokens; got != own {
		t.Errorf("second prompt: %d tokens to prefill, want %d", got, own)
	}
	releasePrompt(p, 80, 2)
	for key := 3; key < 8; key++ {
		request(kumquatlug.Millis(key*100), key, key)
		releasePrompt(p, kumquatlug.Millis(key*100+50), key)
	}
	if got := request(900, 1, 9)[0].UncachedTokens; got <= own {
		t.Errorf("after five other prefixes: %d tokens to prefill", got)
	}
}

// A permit is granted while the engine still prefills that of another gateway. From the
// time that took, its gateway would infer a slow engine, and by that estimate give up
// attempts, refuse clients and exclude engines. Only the coordinator can see whether
// the engine is idle.
func TestPermitReportsWhetherEngineIsIdle(t *testing.T) {
	_, request := newCoordinator()
	first, second := request(10, 1, 1)[0], request(11, 1, 2)[0]
	if !first.EngineIdle || second.EngineIdle {
		t.Errorf("engine idle: first prompt %v, second %v", first.EngineIdle, second.EngineIdle)
	}
	if second.Wait <= first.Wait {
		t.Errorf("expected wait: first prompt %d ms, second %d ms", first.Wait, second.Wait)
	}
}

// Thirty engines prefill continuously for ten gateways. A gateway that counted only its
// own prompts would take most of them for idle, and have them decode while prompts
// wait.
func TestPrefillUtilizationUsesCoordinatedEngines(t *testing.T) {
	c := newGatewayCluster(10, 30, true)
	p := c.gateways[0]
	for _, w := range p.ordered {
		if p.coordinates(0, w) {
			w.prefills = 1
		}
	}
	if busy := p.busyPrefillFraction(0); busy < 0.99 {
		t.Errorf("%.2f of the prefill engines look busy", busy)
	}
	uncoordinated := newGatewayCluster(1, 4, false).gateways[0]
	uncoordinated.workers["p0"].prefills, uncoordinated.workers["p1"].prefills = 1, 1
	if busy := uncoordinated.busyPrefillFraction(0); busy != 0.5 {
		t.Errorf("without coordinators %.2f of the prefill engines look busy", busy)
	}
}
