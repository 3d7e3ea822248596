package front

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// Settings of a soak. The time of events is short enough for CI: two seeds take less than a minute.
const (
	soakGateways     = 3
	soakClients      = 20
	soakStreamEvents = 30
	soakEventSpan    = 8 * time.Second
	soakEventDelay   = 15 * time.Millisecond
	// soakGrace is grace_s of the gateways. A process has exited soakExit after SIGTERM.
	soakGrace = 4 * time.Second
	soakExit  = 4500 * time.Millisecond
	// configApply is how long a gateway may serve by an older version of the config.
	configApply = 3 * time.Second
	// contact is how long after an unplanned fault its effects are excused.
	contact = 2 * time.Second
	// closeSlack is how long after its last byte a request that reached no worker may cross
	// the gateway's close of the connection.
	closeSlack = 250 * time.Millisecond
	// deadlineSlack is how much earlier than its deadline a request may be ended.
	deadlineSlack = 50 * time.Millisecond
	// readSlack is how long after its deadline a client still waits for an answer.
	readSlack = time.Second
)

// soakCase is one run of the soak. The planned cases play pausing and full workers, changes of the
// config, reloads and planned stops only. A minRetries of 0 stands for the site's default.
type soakCase struct {
	seed       uint64
	planned    bool
	minRetries int
}

// disruption is an unplanned fault of a gateway, or of workers if gateway is anyGateway.
type disruption struct {
	gateway  int
	from, to time.Time
}

const anyGateway = -1

// soakResult is the outcome of one request.
type soakResult struct {
	id, kind    string
	gateway     int
	sent, ended time.Time
	deadline    time.Duration
	got         response
	// answered is set once the first byte of the response has arrived.
	answered bool
}

func (r soakResult) mayRepeat() bool { return r.kind == "long" || r.kind == "look" }

func (r soakResult) refused() bool {
	return r.got.err == nil && slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, r.got.status)
}

// expected returns the complete body.
func (r soakResult) expected() string {
	if r.kind == "long" || r.kind == "chat" {
		return streamBody(r.id, soakStreamEvents)
	}
	return fleet.ResponseBody(r.id)
}

func (r soakResult) complete() bool {
	return r.got.err == nil && r.got.status == http.StatusOK && r.got.body == r.expected() && r.got.header.Get("Server-Stamp") != ""
}

// action is one step of the plan, at a time after the start.
type action struct {
	at   time.Duration
	text string
	do   func()
}

// soak is the state of one run.
type soak struct {
	soakCase
	t        *testing.T
	site     *site.Site
	gateways []*process
	inUse    [soakGateways]atomic.Bool
	began    time.Time
	mu       sync.Mutex
	results  []soakResult
	played   []string
	// terms are the times of SIGTERM by gateway; configs are the time-outs of each version.
	terms       [soakGateways][]time.Time
	configs     []soakConfig
	disruptions []disruption
	handsOff    bool
}

// soakConfig is one version of the config with its time-outs by kind of request.
type soakConfig struct {
	written  time.Time
	timeouts map[string]time.Duration
}

var soakPaths = map[string]string{"long": site.PathResumable, "chat": site.PathNonResumable, "post": site.PathNonIdempotent, "look": site.PathIdempotent}

// Silent and full workers, kills, freezes, faults of the store and planned changes overlap under load.
// Guards against answers that are mixed or repeated, false refusals and gateways that stop serving.
func TestSoakUnplannedFaults(t *testing.T) { soakSeeds(t, false) }

// Sound workers fall silent and go on, others are full, and gateways are reloaded, reconfigured and restarted meanwhile.
// Guards against answers that are cut although nothing unplanned has happened.
func TestSoakPlannedChanges(t *testing.T) { soakSeeds(t, true) }

// soakSeeds runs seed 1, or the seeds that the environment names.
func soakSeeds(t *testing.T, planned bool) {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("KUMQUATLUG_SOAK_SEEDS"), "1"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	first, err := strconv.ParseUint(cmp.Or(os.Getenv("KUMQUATLUG_SOAK_FIRST"), "1"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	for seed := first; seed < first+seeds; seed++ {
		// Every other seed leaves few retries.
		c := soakCase{seed: seed, planned: planned, minRetries: []int{3, 0}[seed%2]}
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSoak(t, c) })
	}
}

func runSoak(t *testing.T, c soakCase) {
	t.Logf("seed %d, planned only: %t, least retries: %d", c.seed, c.planned, c.minRetries)
	k := &soak{soakCase: c, t: t, site: newSite(t, site.Config{
		PrefillEngines: 4, DecodeEngines: 2, PlainWorkers: 3, Events: soakStreamEvents, EventDelay: soakEventDelay, MinRetries: c.minRetries,
	})}
	k.handsOff = c.seed/2%2 == 0
	random := rand.New(rand.NewPCG(c.seed, 0))
	k.setConfig(random)
	for i := range soakGateways {
		// The first gateway hands streams off in half of the runs.
		link := 200.0
		if i == 0 && k.handsOff {
			link = 10
		}
		k.gateways = append(k.gateways, newLinkedGateway(t, k.site, fmt.Sprint("front-", i), link))
		k.inUse[i].Store(true)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients, helpers sync.WaitGroup
	helpers.Go(func() { k.balance(ctx) })
	helpers.Go(func() { k.heartbeat(ctx) })
	k.began = time.Now()
	for n := range soakClients {
		clients.Go(func() { k.client(ctx, n, rand.New(rand.NewPCG(c.seed, uint64(n+1)))) })
	}
	k.play(k.plan(random))
	sleep(time.Second)
	cancel()
	clients.Wait()
	helpers.Wait()
	k.requireServing()
	k.check()
}

// balance selects the gateways that receive new connections, as the platform does.
func (k *soak) balance(ctx context.Context) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	var misses [soakGateways]int
	for ctx.Err() == nil {
		for i, p := range k.gateways {
			got, err := client.Get("http://" + p.readyAddr + "/v1/readyz")
			if err == nil {
				got.Body.Close()
			}
			misses[i]++
			if err == nil && got.StatusCode == http.StatusOK {
				misses[i] = 0
			}
			k.inUse[i].Store(misses[i] < 2)
		}
		sleep(time.Second)
	}
}

// heartbeat writes the workers' rows, so that changes of engines' stages become known.
func (k *soak) heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		for _, w := range k.workers() {
			k.site.WriteWorkerRow(w, "ready")
		}
		sleep(500 * time.Millisecond)
	}
}

func (k *soak) workers() []*fleet.Worker { return slices.Concat(k.site.Engines, k.site.PlainWorkers) }

// soakConn is a client's open connection.
type soakConn struct {
	net.Conn
	in      *bufio.Reader
	gateway int
}

// client sends one request after the other, on open connections where it can.
func (k *soak) client(ctx context.Context, n int, random *rand.Rand) {
	kind := []string{"long", "chat", "look", "post"}[n%4]
	var c *soakConn
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for i := 0; ctx.Err() == nil; i++ {
		sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		if c == nil {
			if c = k.connect(random); c == nil {
				continue
			}
		}
		r := soakResult{id: fmt.Sprintf("%s-%d-%d-%d", kind, k.seed, n, i), kind: kind, gateway: c.gateway, deadline: time.Duration(2500+random.IntN(3500)) * time.Millisecond}
		kept := c.exchange(&r)
		k.mu.Lock()
		k.results = append(k.results, r)
		k.mu.Unlock()
		if !kept || random.IntN(10) == 0 {
			_ = c.Close()
			c = nil
		}
		if r.refused() {
			after, _ := strconv.ParseFloat(r.got.header.Get("Retry-After"), 64)
			sleep(time.Duration(min(after, 1) * float64(time.Second)))
		}
	}
}

// connect opens a connection to a gateway in use, or returns nil.
func (k *soak) connect(random *rand.Rand) *soakConn {
	i := random.IntN(soakGateways)
	if !k.inUse[i].Load() {
		return nil
	}
	c, err := net.DialTimeout("tcp", k.gateways[i].clientAddr, time.Second)
	if err != nil {
		return nil
	}
	return &soakConn{Conn: c, in: bufio.NewReader(c), gateway: i}
}

// exchange sends a request and reads the response. It reports whether the connection stays open.
func (c *soakConn) exchange(r *soakResult) bool {
	method, body := http.MethodPost, strings.Repeat("b", 300)
	if r.kind == "look" {
		method, body = http.MethodGet, ""
	}
	header := map[string]string{"Host": site.Host, "Attempt-Id": r.id, "Deadline-Ms": fmt.Sprint(r.deadline.Milliseconds()), "Key": northKey, "Content-Length": fmt.Sprint(len(body))}
	switch r.kind {
	case "long":
		for name, value := range longPromptHeaders(r.id) {
			header[name] = value
		}
	case "chat":
		header["Model"], header["Token-Count"], header["Prefix-Hash"] = "m", "220,400", "cc:80,"+r.id+":140"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %sx HTTP/1.1\r\n", method, soakPaths[r.kind])
	for name, value := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	r.sent = time.Now()
	defer func() { r.ended = time.Now() }()
	_ = c.SetDeadline(r.sent.Add(r.deadline + readSlack))
	if _, r.got.err = io.WriteString(c, text.String()+"\r\n"+body); r.got.err != nil {
		return false
	}
	if _, r.got.err = c.in.Peek(1); r.got.err != nil {
		return false
	}
	r.answered = true
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		r.got.err = err
		return false
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	r.got.status, r.got.header, r.got.body, r.got.err = response.StatusCode, response.Header, string(read), err
	return err == nil && !response.Close
}

// setConfig writes two versions of the config: one with other accounts, one with other time-outs,
// attempts and weights and, in half of the versions, another route.
func (k *soak) setConfig(random *rand.Rand) {
	accounts := map[string][]string{"north": {northKey}}
	if random.IntN(2) == 0 {
		accounts["south"] = []string{southKey}
	}
	k.configs = append(k.configs, soakConfig{time.Now(), map[string]time.Duration{"long": 4 * time.Second, "chat": 8 * time.Second, "post": 2 * time.Second, "look": 2 * time.Second}})
	k.site.SetAccounts(accounts)
	timeouts := map[string]time.Duration{}
	k.site.SetConfig(func(routes map[string]site.Route) {
		for _, kind := range []string{"long", "chat", "look", "post"} {
			timeouts[kind] = time.Duration(2000+random.IntN(4000)) * time.Millisecond
			route := routes[soakPaths[kind]]
			route["timeout_ms"], route["max_attempts"] = timeouts[kind].Milliseconds(), 1+random.IntN(3)
			route["traffic_split"] = []map[string]any{{"service": route["service"], "weight": 1 + random.IntN(9)}}
		}
		if random.IntN(2) == 0 {
			routes["/look/added/"] = maps.Clone(routes[site.PathIdempotent])
		}
	})
	k.configs = append(k.configs, soakConfig{time.Now(), timeouts})
}

// plan draws the actions of the run from its seed.
func (k *soak) plan(random *rand.Rand) []action {
	kinds := []string{"pause", "pause", "pause", "full", "config", "reload", "term"}
	if !k.planned {
		kinds = append(kinds, "silent", "silent", "kill", "freeze", "freeze", "store", "store")
	}
	var actions []action
	add := func(at time.Duration, text string, do func()) { actions = append(actions, action{at, text, do}) }
	span := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	var free [soakGateways]time.Duration
	for at := 500 * time.Millisecond; at < soakEventSpan; at += span(50*time.Millisecond, 500*time.Millisecond) {
		kind := kinds[random.IntN(len(kinds))]
		g := random.IntN(soakGateways)
		gateway, length := k.gateways[g], span(200*time.Millisecond, 2500*time.Millisecond)
		switch kind {
		case "pause":
			k.planPauses(random, at, span, add)
		case "full", "silent":
			w := k.workers()[random.IntN(len(k.workers()))]
			fault := map[string]fleet.Fault{"full": fleet.FaultReject, "silent": fleet.FaultSilent}[kind]
			add(at, fmt.Sprintf("%s: %s for %v", k.site.ID(w), kind, length), func() {
				w.SetFault(fault)
				if kind == "silent" {
					k.disrupt(anyGateway, length)
				}
			})
			add(at+length, k.site.ID(w)+": sound", func() { w.SetFault(fleet.FaultNone) })
		case "config":
			add(at, "config", func() { k.setConfig(random) })
		case "store":
			fault := []rowstore.Fault{rowstore.FaultBusy, rowstore.FaultReset, rowstore.FaultSilent, rowstore.FaultLost}[random.IntN(4)]
			add(at, fmt.Sprintf("store: %s for %v", fault, length), func() { k.site.Store.SetFault(fault) })
			add(at+length, "store: sound", func() { k.site.Store.SetFault(rowstore.FaultNone) })
		}
		if at < free[g] {
			continue
		}
		switch kind {
		case "reload":
			add(at, gateway.name+": SIGHUP", func() { gateway.signal(syscall.SIGHUP) })
		case "term":
			free[g] = at + soakExit + time.Second
			add(at, gateway.name+": SIGTERM", func() {
				k.terms[g] = append(k.terms[g], time.Now())
				gateway.signal(syscall.SIGTERM)
			})
			add(at+soakExit, gateway.name+": start", func() {
				select {
				case <-gateway.done:
				default:
					k.t.Errorf("%s still runs %v after SIGTERM", gateway.name, soakExit)
					gateway.kill()
				}
				gateway.start()
			})
		case "kill":
			free[g] = at + length + time.Second
			add(at, gateway.name+": SIGKILL", func() {
				k.disrupt(g, length)
				gateway.kill()
			})
			add(at+length, gateway.name+": start", gateway.start)
		case "freeze":
			free[g] = at + length
			add(at, gateway.name+": SIGSTOP", func() {
				k.disrupt(g, length)
				gateway.signal(syscall.SIGSTOP)
			})
			add(at+length, gateway.name+": SIGCONT", func() { gateway.signal(syscall.SIGCONT) })
		}
	}
	slices.SortStableFunc(actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return actions
}

// planPauses adds a series of pauses of one worker or several.
func (k *soak) planPauses(random *rand.Rand, at time.Duration, span func(least, most time.Duration) time.Duration, add func(time.Duration, string, func())) {
	workers := k.workers()
	for range 1 + random.IntN(3) {
		w := workers[random.IntN(len(workers))]
		begin := at
		for range 1 + random.IntN(3) {
			length := span(300*time.Millisecond, 1500*time.Millisecond)
			add(begin, fmt.Sprintf("%s: pauses for %v", k.site.ID(w), length), func() { w.Pause(length) })
			begin += length + span(20*time.Millisecond, 600*time.Millisecond)
		}
	}
}

// disrupt records an unplanned fault that lasts for length.
func (k *soak) disrupt(gateway int, length time.Duration) {
	now := time.Now()
	k.disruptions = append(k.disruptions, disruption{gateway, now, now.Add(length)})
}

// play carries out the actions at their times.
func (k *soak) play(actions []action) {
	for _, a := range actions {
		sleep(time.Until(k.began.Add(a.at)))
		k.played = append(k.played, fmt.Sprintf("%7.3f %s", time.Since(k.began).Seconds(), a.text))
		a.do()
	}
}

// requireServing fails unless each gateway serves each kind of request again.
func (k *soak) requireServing() {
	for i, p := range k.gateways {
		eventually(k.t, p.name+" is ready again", p.isReady)
		for _, kind := range []string{"long", "chat", "look", "post"} {
			n := 0
			eventually(k.t, p.name+" serves again: "+kind, func() bool {
				n++
				r := soakResult{id: fmt.Sprintf("%s-again-%d-%d", kind, i, n), kind: kind, gateway: i, deadline: 2 * time.Second}
				c, err := net.DialTimeout("tcp", p.clientAddr, time.Second)
				if err != nil {
					return false
				}
				defer func() { _ = c.Close() }()
				(&soakConn{Conn: c, in: bufio.NewReader(c)}).exchange(&r)
				return r.complete()
			})
		}
	}
}

// check compares what the clients received with what the workers ran.
func (k *soak) check() {
	runs, moves, arrived := map[string]int{}, map[string]int{}, map[string]bool{}
	for _, w := range k.workers() {
		for id, n := range w.Runs() {
			runs[id] += n
			moves[id] += w.Moves(id)
		}
		for _, h := range w.ReceivedHeaders() {
			arrived[h.Get("Attempt-Id")] = true
		}
	}
	counts := map[string]int{}
	var failures []string
	for _, r := range k.results {
		problem := r.contentProblem()
		switch {
		case problem != "":
		case !r.mayRepeat() && runs[r.id] > 1+moves[r.id]:
			problem = fmt.Sprintf("ran %d times", runs[r.id])
		case r.refused() && runs[r.id] > 0 && !r.mayRepeat():
			problem = "refused as not run, and has run"
		case r.complete():
			counts["complete"]++
		case r.refused():
			counts["refused"]++
		default:
			excuse := k.excuse(r, arrived[r.id])
			counts[cmp.Or(excuse, "ended early")]++
			if excuse == "" {
				problem = "ended without an answer"
			}
		}
		if problem != "" {
			failures = append(failures, k.describe(r, problem, runs[r.id]))
		}
	}
	k.t.Logf("seed %d: %d requests: %v", k.seed, len(k.results), counts)
	if counts["complete"]*2 < len(k.results) {
		k.t.Errorf("seed %d: less than half of the requests were served", k.seed)
	}
	if len(failures) > 0 {
		k.t.Errorf("seed %d: %d failures, the first:\n%s\nevents:\n%s", k.seed, len(failures), strings.Join(failures[:min(len(failures), 4)], "\n"), strings.Join(k.played, "\n"))
	}
}

// contentProblem returns what is wrong with the content of a response, whatever was played.
func (r soakResult) contentProblem() string {
	switch {
	case r.got.status != http.StatusOK:
		return ""
	case r.got.header.Get("Server-Stamp") == "":
		return "a success without a worker's stamp"
	case !strings.HasPrefix(r.expected(), r.got.body):
		return fmt.Sprintf("wrong body %q", r.got.body)
	case r.got.err == nil && r.got.body != r.expected():
		return fmt.Sprintf("a cut body of %d bytes looks complete", len(r.got.body))
	}
	return ""
}

// excuse returns why a request may end without an answer, or "".
func (k *soak) excuse(r soakResult, arrived bool) string {
	for _, d := range k.disruptions {
		affected := d.gateway == r.gateway || d.gateway == anyGateway || k.handsOff && r.gateway == 0
		if affected && r.ended.After(d.from) && r.sent.Before(d.to.Add(contact)) {
			return "unplanned fault"
		}
	}
	limit := r.deadline
	for i, c := range k.configs {
		if !c.written.After(r.ended) && (i+1 == len(k.configs) || k.configs[i+1].written.Add(configApply).After(r.sent)) {
			limit = min(limit, c.timeouts[r.kind])
		}
	}
	took := r.ended.Sub(r.sent)
	if took >= r.deadline+readSlack {
		return ""
	}
	if took >= limit-deadlineSlack {
		return "out of time"
	}
	// A worker that still works in the last sixth of the grace may lose its request.
	for _, term := range k.terms[r.gateway] {
		if r.sent.Before(term.Add(3*time.Second)) && r.ended.After(term.Add(soakGrace*5/6)) && r.ended.Before(term.Add(soakExit)) {
			return "end of the grace"
		}
	}
	if !r.answered && !arrived && took < closeSlack {
		return "not read"
	}
	return ""
}

// describe returns a request's outcome and what the gateways logged about it.
func (k *soak) describe(r soakResult, problem string, runs int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s: sent to front-%d at %.3f, ended after %v of %v: status %d, error %v, %d of %d bytes, %d runs\n", r.id, problem, r.gateway,
		r.sent.Sub(k.began).Seconds(), r.ended.Sub(r.sent), r.deadline, r.got.status, r.got.err, len(r.got.body), len(r.expected()), runs)
	for _, p := range k.gateways {
		for _, line := range p.log(`"` + r.id + `"`) {
			fmt.Fprintf(&b, "  %s: %s\n", p.name, line)
		}
	}
	return b.String()
}
