package front

import (
	"cmp"
	"context"
	"fmt"
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

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// Parameters of a soak. A run takes about 13 s.
const (
	soakGateways = 3
	soakClients  = 20
	soakEvents   = 30
	soakSpan     = 8 * time.Second
	// soakGrace is grace_s of the gateways; a stopped process starts again soakExit after SIGTERM.
	soakGrace = 4 * time.Second
	soakExit  = 4500 * time.Millisecond
	// soakApply is how long a gateway may serve by an older version of the config, and how
	// long after an unplanned fault its effects are excused.
	soakApply = 2 * time.Second
	// soakCloseSlack is how long after it was sent a request may cross the gateway's close of the
	// connection; soakEarly is how much before its time-out it may be ended; soakLate is how long
	// after its deadline a client still waits.
	soakCloseSlack = 250 * time.Millisecond
	soakEarly      = 50 * time.Millisecond
	soakLate       = time.Second
)

// soakKinds are the kinds of requests, by path.
var (
	soakKinds = []string{"long", "chat", "look", "post"}
	soakPaths = map[string]string{"long": site.PathResumable, "chat": site.PathNonResumable, "look": site.PathIdempotent, "post": site.PathNonIdempotent}
)

// Silent and full workers, kills, freezes, faults of the store and planned changes overlap under load.
// Guards against responses that are mixed or repeated, false refusals and gateways that stop serving.
func TestSoakUnplannedFaults(t *testing.T) { soakSeeds(t, 1, false) }

// Sound workers pause and go on, others are full, and gateways are reloaded, reconfigured and restarted meanwhile.
// Guards against responses that are cut although nothing unplanned has happened.
func TestSoakPlannedChanges(t *testing.T) { soakSeeds(t, 2, true) }

// soakSeeds runs one seed, or those that the environment names.
func soakSeeds(t *testing.T, seed uint64, planned bool) {
	last := seed
	if n, err := strconv.ParseUint(os.Getenv("KUMQUATLUG_SOAK_SEEDS"), 10, 64); err == nil {
		seed, _ = strconv.ParseUint(cmp.Or(os.Getenv("KUMQUATLUG_SOAK_FIRST"), "1"), 10, 64)
		last = seed + n - 1
	}
	for ; seed <= last; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSoak(t, seed, planned) })
	}
}

// soak is the state of one run.
type soak struct {
	*testing.T
	*site.Site
	seed    uint64
	planned bool
	random  *rand.Rand
	workers []*fleet.Worker
	// versions are the versions of the engines, empty if all have the same one. crashing says that a part of
	// prompts crashes engines.
	versions []string
	crashing bool
	gateways []*process
	inUse    [soakGateways]atomic.Bool
	began    time.Time
	mu       sync.Mutex
	results  []*soakRequest
	actions  []soakAction
	played   []string
	// terms are the times of SIGTERM by gateway.
	terms   [soakGateways][]time.Time
	faults  []soakFault
	configs []soakConfig
}

// soakAction is one step of the plan, at a time after the start.
type soakAction struct {
	at   time.Duration
	text string
	do   func()
}

// soakFault is an unplanned fault of a gateway, or of a worker if gateway is -1.
type soakFault struct {
	gateway  int
	from, to time.Time
}

// soakConfig is a version of the config with its time-outs by kind of request.
type soakConfig struct {
	written  time.Time
	timeouts map[string]time.Duration
}

// soakRequest is a request with its outcome.
type soakRequest struct {
	id, kind    string
	gateway     int
	deadline    time.Duration
	sent, ended time.Time
	// resumes is the request that brought the first event of the stream which the client takes up
	// after this number of events, nil for a new one.
	resumes *soakRequest
	after   int
	response
}

// events returns the number of events that the client has received of a stream.
func (r *soakRequest) events() int { return r.after + strings.Count(r.body, "\n\n") }

// first returns the request that brought the first event of a stream.
func (r *soakRequest) first() *soakRequest {
	if r.resumes != nil {
		return r.resumes
	}
	return r
}

func (r *soakRequest) refused() bool {
	return r.err == nil && slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, r.status)
}

// expected returns the complete body.
func (r *soakRequest) expected() string {
	if r.kind == "long" || r.kind == "chat" {
		return strings.TrimPrefix(streamBody(r.id, soakEvents), streamBody(r.id, r.after))
	}
	return fleet.ResponseBody(r.id)
}

// headers returns the headers of the request's prompt.
func (r *soakRequest) headers() map[string]string {
	switch r.kind {
	case "long":
		headers := longPromptHeaders(r.first().id)
		if r.resumes != nil {
			headers["Resumes"], headers["Last-Event-Id"] = r.resumes.id, strconv.Itoa(r.after)
		}
		return headers
	case "chat":
		return chatHeaders(r.id)
	}
	return map[string]string{}
}

func runSoak(t *testing.T, seed uint64, planned bool) {
	// Every other seed leaves few retries; in half of them the first gateway hands streams off.
	minRetries, firstLink := []int{3, 0}[seed%2], []float64{10, 200}[seed/2%2]
	c := site.Config{PrefillEngines: 4, DecodeEngines: 2, PlainWorkers: 3, Events: soakEvents, EventDelay: 15 * time.Millisecond, MinRetries: minRetries}
	if seed%3 == 2 {
		c.DecodeEngines, c.EngineVersions = 4, []string{"v1", "v2"}
	}
	t.Logf("seed %d, planned: %t, minimum of retries (0 is the default): %d, link of front-0: %v Mbit/s, versions: %v", seed, planned, minRetries, firstLink, c.EngineVersions)
	k := &soak{T: t, seed: seed, planned: planned, versions: c.EngineVersions, crashing: !planned && seed%4 != 3, random: rand.New(rand.NewPCG(seed, 0)), Site: newSite(t, c)}
	k.workers = slices.Concat(k.Engines, k.PlainWorkers)
	k.changeConfig()
	for i, link := range [soakGateways]float64{firstLink, 200, 200} {
		k.gateways = append(k.gateways, newLinkedGateway(t, k.Site, fmt.Sprint("front-", i), link))
		k.inUse[i].Store(true)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	k.began = time.Now()
	clients.Go(func() { k.watch(ctx) })
	rowsCtx, stopRows := context.WithCancel(context.Background())
	defer stopRows()
	var rows sync.WaitGroup
	rows.Go(func() { k.writeRows(rowsCtx) })
	for n := range soakClients {
		clients.Go(func() { k.runClient(ctx, n, rand.New(rand.NewPCG(seed, uint64(n+1)))) })
	}
	if k.crashing {
		clients.Go(func() { k.runCrashingClient(ctx, rand.New(rand.NewPCG(seed, 52))) })
	}
	k.plan()
	for _, a := range k.actions {
		sleep(time.Until(k.began.Add(a.at)))
		k.played = append(k.played, fmt.Sprintf("%7.3f %s", time.Since(k.began).Seconds(), a.text))
		a.do()
	}
	sleep(time.Second)
	cancel()
	clients.Wait()
	k.requireServing()
	stopRows()
	rows.Wait()
	k.check()
}

// watch selects the gateways that receive new connections, as the platform does.
func (k *soak) watch(ctx context.Context) {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	for misses := [soakGateways]int{}; ctx.Err() == nil; sleep(time.Second) {
		for i, p := range k.gateways {
			misses[i]++
			if got, err := client.Get("http://" + p.readyAddr + "/v1/readyz"); err == nil {
				got.Body.Close()
				if got.StatusCode == http.StatusOK {
					misses[i] = 0
				}
			}
			k.inUse[i].Store(misses[i] < 2)
		}
	}
}

// writeRows writes the workers' rows, also while the run is checked: roles may change after the last request.
func (k *soak) writeRows(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(time.Second) {
		for _, w := range k.workers {
			if !k.Crashed(w) {
				k.WriteWorkerRow(w, "ready")
			}
		}
		k.WriteEngineRows()
	}
}

// soakCrashPart is the part of prompts that crashes engines, soakCrashID begins the IDs of the requests with it.
const (
	soakCrashPart = "dead"
	soakCrashID   = "crash-"
)

// runCrashingClient sends prompts that share a part which crashes engines, and else nothing, to any gateway.
func (k *soak) runCrashingClient(ctx context.Context, random *rand.Rand) {
	sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
	k.CrashOn(time.Duration(500+random.IntN(1500))*time.Millisecond, soakCrashPart)
	for i := 0; ctx.Err() == nil; i++ {
		sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		id, gateway := fmt.Sprintf("%s%d-%d", soakCrashID, k.seed, i), random.IntN(soakGateways)
		parts := []string{"aa", "bb" + strconv.Itoa(random.IntN(10))}
		parts = slices.Insert(parts, random.IntN(3), soakCrashPart)
		prefix := strings.Join(parts, ":2000,") + ":2000," + id + ":900"
		call, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		k.gateways[gateway].doWith(call, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, http.MethodPost, site.PathResumable+id, id, map[string]string{
			"Model": "m", "Token-Count": "6900,104", "Prefix-Hash": prefix, "Key": northKey, "Deadline-Ms": "2000",
		})
		cancel()
	}
}

// checkCrashes compares the arrivals of the part that crashes engines with the users' rule, and what was refused
// for it. What was in flight at a crash is excused, and what had no engine until it was back.
func (k *soak) checkCrashes() []string {
	var failures []string
	crashes := k.Crashes()
	for _, at := range crashes {
		k.faults = append(k.faults, soakFault{-1, at.Add(-100 * time.Millisecond), at.Add(2*time.Second + soakApply)})
	}
	late := 0
	for _, a := range k.Arrivals(soakCrashPart) {
		if len(crashes) >= 5 && a.At.After(crashes[4].Add(contact)) {
			late++
		}
	}
	if late > maxGuiltyArrivals {
		failures = append(failures, fmt.Sprintf("%d requests with the crashing part reached workers later than %v after the fifth of %d crashes\n", late, contact, len(crashes)))
	}
	refused := 0
	for _, p := range k.gateways {
		for _, line := range p.log(`"refused"`, `"quarantined"`) {
			if refused++; !strings.Contains(line, `"`+soakCrashID) {
				failures = append(failures, "a sound request is refused: "+line+"\n")
			}
		}
	}
	k.Logf("seed %d: %d crashes, %d late arrivals, %d refused", k.seed, len(crashes), late, refused)
	return failures
}

// runClient sends one request after the other, on open connections where it can.
func (k *soak) runClient(ctx context.Context, n int, random *rand.Rand) {
	client, gateway, kind := &http.Client{}, n%soakGateways, soakKinds[n%len(soakKinds)]
	// cut is a stream that broke off and that the client takes up.
	var cut *soakRequest
	for i := 0; ctx.Err() == nil; i++ {
		sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		if client.Transport == nil {
			if gateway = random.IntN(soakGateways); !k.inUse[gateway].Load() {
				continue
			}
			client.Transport = &http.Transport{}
		}
		r := &soakRequest{id: fmt.Sprintf("%s-%d-%d-%d", kind, k.seed, n, i), kind: kind, gateway: gateway, deadline: time.Duration(2500+random.IntN(3500)) * time.Millisecond}
		if cut != nil {
			r.resumes, r.after = cut.first(), cut.events()
		}
		k.send(client, r)
		if cut = nil; len(k.versions) > 0 && r.kind == "long" && r.err != nil && r.events() > 0 && r.events() < soakEvents {
			cut = r
		}
		if dial := new(net.OpError); !errors.As(r.err, &dial) || dial.Op != "dial" {
			k.mu.Lock()
			k.results = append(k.results, r)
			k.mu.Unlock()
		}
		if r.err != nil || r.header.Get("Connection") == "close" || random.IntN(10) == 0 {
			client.CloseIdleConnections()
			client.Transport = nil
		}
		if r.refused() {
			after, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			sleep(time.Duration(min(after, 1) * float64(time.Second)))
		}
	}
	client.CloseIdleConnections()
}

// send sends a request. All are posted, since http.Client repeats a GET request whose connection breaks.
func (k *soak) send(client *http.Client, r *soakRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+soakLate)
	defer cancel()
	headers := r.headers()
	headers["Key"], headers["Deadline-Ms"] = northKey, strconv.FormatInt(r.deadline.Milliseconds(), 10)
	r.sent = time.Now()
	// Distinct paths keep the gateways from quarantining all requests of a kind.
	r.response = k.gateways[r.gateway].doWith(ctx, client, http.MethodPost, soakPaths[r.kind]+r.id, r.id, headers)
	r.ended = time.Now()
}

// changeConfig writes one version of the config with other accounts and one with other routes.
func (k *soak) changeConfig() {
	k.configs = append(k.configs, soakConfig{time.Now(), map[string]time.Duration{"long": 4 * time.Second, "chat": 8 * time.Second, "post": 2 * time.Second, "look": 2 * time.Second}})
	k.SetAccounts(map[string][]string{"north": {northKey}, fmt.Sprint("account-", k.random.IntN(3)): {southKey}})
	timeouts := map[string]time.Duration{}
	k.SetConfig(func(routes map[string]site.Route) {
		for _, kind := range soakKinds {
			route, timeout := routes[soakPaths[kind]], 2000+k.random.IntN(4000)
			timeouts[kind] = time.Duration(timeout) * time.Millisecond
			route["timeout_ms"], route["max_attempts"] = timeout, 1+k.random.IntN(3)
			route["traffic_split"] = []map[string]any{{"service": route["service"], "weight": 1 + k.random.IntN(9)}}
		}
		if k.random.IntN(2) == 0 {
			routes["/look/added/"] = maps.Clone(routes[site.PathIdempotent])
		}
	})
	k.configs = append(k.configs, soakConfig{time.Now(), timeouts})
}

// between returns a random duration in ms.
func (k *soak) between(least, most int) time.Duration {
	return time.Duration(least+k.random.IntN(most-least)) * time.Millisecond
}

func (k *soak) add(at time.Duration, text string, do func()) {
	k.actions = append(k.actions, soakAction{at, text, do})
}

// addFault adds an unplanned fault, which begins and ends with an action.
func (k *soak) addFault(at, length time.Duration, gateway int, text string, begin, end func()) {
	k.add(at, fmt.Sprintf("%s for %v", text, length), func() {
		now := time.Now()
		k.faults = append(k.faults, soakFault{gateway, now, now.Add(length + soakApply)})
		begin()
	})
	k.add(at+length, text+" ends", end)
}

// plan draws the actions of the run.
func (k *soak) plan() {
	kinds := []string{"pause", "pause", "pause", "full", "unframed", "config", "reload", "term"}
	if !k.planned {
		kinds = append(kinds, "broken", "broken", "kill", "freeze", "freeze", "store", "store")
	}
	var free [soakGateways]time.Duration
	for at := 500 * time.Millisecond; at < soakSpan; at += k.between(50, 500) {
		kind, length, w, g := kinds[k.random.IntN(len(kinds))], k.between(200, 2500), k.workers[k.random.IntN(len(k.workers))], k.random.IntN(soakGateways)
		p, sound := k.gateways[g], func() { w.SetFault(fleet.FaultNone) }
		switch kind {
		case "pause":
			k.planPauses(at)
		case "full":
			k.add(at, fmt.Sprintf("%s full for %v", k.ID(w), length), func() { w.SetFault(fleet.FaultReject) })
			k.add(at+length, k.ID(w)+" no longer full", sound)
		case "unframed":
			// Whole responses that end with their connection excuse nothing.
			k.add(at, fmt.Sprintf("%s unframed for %v", k.ID(w), length), func() { w.SetFault(fleet.FaultUnframed) })
			k.add(at+length, k.ID(w)+" no longer unframed", sound)
		case "broken":
			fault := []fleet.Fault{fleet.FaultSilent, fleet.FaultLost, fleet.FaultTruncate, fleet.FaultUnframedCut, fleet.FaultUnframedReset}[k.random.IntN(5)]
			k.addFault(at, length, -1, fmt.Sprintf("%s %s", k.ID(w), fault), func() { w.SetFault(fault) }, sound)
		case "config":
			k.add(at, "config changes", k.changeConfig)
		case "store":
			fault := []rowstore.Fault{rowstore.FaultBusy, rowstore.FaultReset, rowstore.FaultSilent, rowstore.FaultLost}[k.random.IntN(4)]
			k.add(at, fmt.Sprintf("store %s for %v", fault, length), func() { k.Store.SetFault(fault) })
			k.add(at+length, "store sound", func() { k.Store.SetFault(rowstore.FaultNone) })
		}
		if at < free[g] {
			continue
		}
		switch kind {
		case "reload":
			k.add(at, p.name+" SIGHUP", func() { p.signal(syscall.SIGHUP) })
		case "term":
			free[g] = at + soakExit + time.Second
			k.add(at, p.name+" SIGTERM", func() {
				k.terms[g] = append(k.terms[g], time.Now())
				p.signal(syscall.SIGTERM)
			})
			k.add(at+soakGrace, p.name+" SIGKILL, if it still runs", p.kill)
			k.add(at+soakExit, p.name+" starts", p.start)
		case "kill":
			free[g] = at + length + time.Second
			k.addFault(at, length, g, p.name+" SIGKILL", p.kill, p.start)
		case "freeze":
			free[g] = at + length
			k.addFault(at, length, g, p.name+" SIGSTOP", func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
		}
	}
	slices.SortStableFunc(k.actions, func(a, b soakAction) int { return cmp.Compare(a.at, b.at) })
}

// planPauses adds a series of pauses to each of a few workers.
func (k *soak) planPauses(at time.Duration) {
	for range 1 + k.random.IntN(3) {
		w, begin := k.workers[k.random.IntN(len(k.workers))], at
		for range 1 + k.random.IntN(3) {
			length := k.between(300, 1500)
			k.add(begin, fmt.Sprintf("%s pauses for %v", k.ID(w), length), func() { w.Pause(length) })
			begin += length + k.between(20, 600)
		}
	}
}

// requireServing fails unless each gateway serves each kind of request again.
func (k *soak) requireServing() {
	for i, p := range k.gateways {
		for _, kind := range soakKinds {
			n := 0
			eventually(k.T, p.name+" serves again: "+kind, func() bool {
				n++
				r := &soakRequest{id: fmt.Sprintf("%s-again-%d-%d", kind, i, n), kind: kind, gateway: i, deadline: 2 * time.Second}
				k.send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, r)
				return r.status == http.StatusOK && r.body == r.expected()
			})
		}
	}
}

// check compares what the clients received with what the workers ran.
func (k *soak) check() {
	counts := map[string]int{}
	failures := k.checkCrashes()
	back := k.Restarted()
	k.workers, k.Engines = slices.Concat(k.workers, back), slices.Concat(k.Engines, back)
	arrived := map[string]bool{}
	for _, w := range k.workers {
		for _, h := range w.ReceivedHeaders() {
			arrived[h.Get("Attempt-Id")] = true
		}
	}
	for _, r := range k.results {
		runs := totalRuns(k.workers, r.id)
		outcome, failed := k.outcome(r, runs, arrived[r.id])
		counts[outcome]++
		if !failed {
			continue
		}
		text := fmt.Sprintf("%s: %s: sent to front-%d at %.3f, ended after %v of %v: status %d, error %v, %d of %d bytes, %d runs\n", r.id, outcome, r.gateway,
			r.sent.Sub(k.began).Seconds(), r.ended.Sub(r.sent), r.deadline, r.status, r.err, len(r.body), len(r.expected()), runs)
		for _, p := range k.gateways {
			for _, line := range p.log(`"` + r.id + `"`) {
				text += line + "\n"
			}
		}
		failures = append(failures, text)
	}
	streams := map[string][]string{}
	for _, r := range k.results {
		streams[r.first().id] = append(streams[r.first().id], r.id)
	}
	for first, ids := range streams {
		if versions := streamedVersions(k.Engines, ids...); len(ids) > 1 && len(versions) > 1 {
			failures = append(failures, fmt.Sprintf("%s: joins versions %v in attempts %v\n", first, versions, ids))
		}
	}
	k.Logf("seed %d: %d requests: %v, %d streams taken up", k.seed, len(k.results), counts, len(k.results)-len(streams))
	if len(failures) > 0 || 2*counts["complete"] < len(k.results) {
		k.Errorf("seed %d: %d failures:\n%s\nevents:\n%s", k.seed, len(failures), strings.Join(failures[:min(len(failures), 20)], "\n"), strings.Join(k.played, "\n"))
	}
}

// outcome returns what became of a request, and whether that breaks a rule.
func (k *soak) outcome(r *soakRequest, runs int, arrived bool) (outcome string, failed bool) {
	moves := 0
	for _, w := range k.Engines {
		moves += w.Moves(r.id)
	}
	took, mayRepeat := r.ended.Sub(r.sent), r.kind == "long" || r.kind == "look"
	switch {
	case !mayRepeat && runs > 1+moves:
		return "ran twice", true
	case r.status == http.StatusOK && (r.header.Get("Server-Stamp") == "" || !strings.HasPrefix(r.expected(), r.body) || r.err == nil && r.body != r.expected()):
		return fmt.Sprintf("wrong content %q", r.body), true
	case r.err == nil && r.status == http.StatusOK:
		return "complete", false
	case r.refused() && runs > 0:
		return "refused after a run", !mayRepeat
	case r.refused():
		return "refused", false
	case k.inFault(r):
		return "unplanned fault", false
	case took >= r.deadline+soakLate:
		return "no end", true
	case took >= k.timeout(r)-soakEarly:
		return "out of time", false
	case k.atEndOfGrace(r):
		return "end of grace", false
	case r.status == 0 && !arrived && took < soakCloseSlack:
		return "crossed a close", false
	}
	if r.err == nil {
		return fmt.Sprintf("status %d", r.status), true
	}
	return "cut", true
}

// inFault returns whether an unplanned fault may have ended a request. A fault of any gateway may
// end those that front-0 has handed off.
func (k *soak) inFault(r *soakRequest) bool {
	return slices.ContainsFunc(k.faults, func(f soakFault) bool {
		return (f.gateway == r.gateway || f.gateway < 0 || r.gateway == 0) && r.ended.After(f.from) && r.sent.Before(f.to)
	})
}

// timeout returns the shortest time-out that may apply to a request.
func (k *soak) timeout(r *soakRequest) time.Duration {
	shortest := r.deadline
	for i, c := range k.configs {
		if c.written.Before(r.ended) && (i+1 == len(k.configs) || k.configs[i+1].written.Add(soakApply).After(r.sent)) {
			shortest = min(shortest, c.timeouts[r.kind])
		}
	}
	return shortest
}

// atEndOfGrace returns whether the gateway may have ended a request that a worker still ran in the last
// sixth of the grace.
func (k *soak) atEndOfGrace(r *soakRequest) bool {
	return slices.ContainsFunc(k.terms[r.gateway], func(term time.Time) bool {
		return r.sent.Before(term.Add(3*time.Second)) && r.ended.After(term.Add(soakGrace*5/6)) && r.ended.Before(term.Add(soakExit))
	})
}
