package drain

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/leanovate/gopter/commands"

	"github.com/kumquatlug/kumquatlug/internal/proof"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The fakes' spans. A node in contact hears news at every poll; the list shows
// a change only after its lag, and its readers lag by different spans.
const (
	pollEvery  = 500 * kumquatlug.Millis(1)
	listLag    = 2 * kumquatlug.Second
	leaveBound = listLag + AgentSilence + 2*pollEvery
)

// change is one revision of the config, or one turn of the platform's list.
type change struct {
	at      kumquatlug.Millis
	leaving bool
}

// world is a target with its agent, two entries that route to it by what they
// know, the config's log and the platform's list; it keeps the oracle's books.
type world struct {
	now     kumquatlug.Millis
	log     []change
	list    []change
	agent   *Drain
	ordered bool
	stopped bool
	table   bool
	vms     bool
	paused  bool
	deaf    kumquatlug.Millis
	highest int64
	told    bool
	entries [2]int64
	cut     [2]bool
	flight  []int64
	hand    int
	counts  map[string]int
	wrong   string
}

func newWorld(counts map[string]int) *world {
	w := &world{
		log: []change{{}}, list: []change{{}}, table: true, vms: true,
		entries: [2]int64{1, 1}, counts: counts,
	}
	w.restart()
	return w
}

// restart puts a new process in the agent's place.
func (w *world) restart() {
	w.agent = New(Config{Silence: AgentSilence})
	w.ordered, w.stopped, w.hand = false, false, 0
	w.highest, w.told = 0, false
}

// ask lets a silent agent ask the table and the list, as far as they answer.
func (w *world) ask(r *rand.Rand) {
	if !w.agent.Silent(w.now) {
		return
	}
	if w.table {
		w.learn(int64(len(w.log)))
	}
	if w.vms {
		w.readList(r)
	}
	w.agent.Asked(w.now)
}

// readList gives the agent the list as of some time within its lag.
func (w *world) readList(r *rand.Rand) {
	state := w.listed(r)
	w.agent.List(state, w.now)
	if state == kumquatlug.VMLeaving && w.list[len(w.list)-1].leaving {
		w.told = true
	}
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(format, args...)
	}
}

// poll lets the nodes hear what they can: the table, the list, and the agent
// the heartbeats of entries, which may themselves be cut off from the table.
func (w *world) poll(r *rand.Rand) {
	for i := range w.entries {
		if !w.cut[i] {
			w.entries[i] = int64(len(w.log))
		}
	}
	if w.paused {
		return
	}
	for i := range w.entries {
		w.heartbeat(i)
	}
	w.ask(r)
	if w.table {
		w.learn(int64(len(w.log)))
	}
	if w.vms {
		w.readList(r)
	}
	w.exit()
}

// listed reads the platform's list as of some time within its lag.
func (w *world) listed(r *rand.Rand) kumquatlug.VMState {
	at := w.now - kumquatlug.Millis(r.Int63n(int64(listLag)))
	state := kumquatlug.VMLive
	for _, c := range w.list {
		if c.at <= at && c.leaving {
			state = kumquatlug.VMLeaving
		} else if c.at <= at {
			state = kumquatlug.VMLive
		}
	}
	return state
}

func (w *world) learn(revision int64) {
	w.agent.Label(revision, w.log[revision-1].leaving, w.now)
	w.highest = max(w.highest, revision)
}

// exit ends the agent's process, or carries out the order, once it may.
func (w *world) exit() {
	if w.agent.State(w.now) != StateDone {
		return
	}
	if w.hand > 0 && (w.stopped || w.ordered) {
		w.fail("%d pieces of work were cut", w.hand)
	}
	if w.stopped {
		w.counts["stops"]++
		w.restart()
	}
}

// leaving reports whether a source said "leaving" throughout the bound before
// now, and the agent could hear that source throughout.
func (w *world) leaving(log []change, heard bool) bool {
	last := log[len(log)-1]
	return heard && last.leaving && w.now-last.at > leaveBound && w.now-w.deaf > leaveBound
}

// arrive hands a request to the agent, routed under revision.
func (w *world) arrive(revision int64, r *rand.Rand) {
	if w.paused {
		w.flight = append(w.flight, revision)
		return
	}
	highest := w.highest
	a := w.agent.Begin(NewRequest(revision, false), w.now)
	if a.Behind() && w.table {
		w.learn(int64(len(w.log)))
	} else if a.Behind() {
		w.learn(revision)
	}
	w.ask(r)
	if !a.Accepted() {
		w.counts["refused"]++
		return
	}
	w.counts["accepted"]++
	w.hand++
	if w.leaving(w.log, w.table) {
		w.fail("work at %d ms, leaving by label since %d ms", w.now, w.log[len(w.log)-1].at)
	}
	if w.leaving(w.list, w.vms) {
		w.fail("work at %d ms, leaving by the list since %d ms", w.now, w.list[len(w.list)-1].at)
	}
	if highest >= revision && w.log[highest-1].leaving {
		w.fail("work under revision %d, after revision %d had said leaving", revision, highest)
	}
	if w.told && w.list[len(w.list)-1].leaving {
		w.fail("work after the list had said leaving, as it still does")
	}
}

type event struct {
	proof.Step
	kind string
	seed int64
}

var kinds = []string{
	"pass", "pass", "pass", "pass", "pass", "pass", "request", "request", "request", "request", "request", "late", "late",
	"end", "end", "end",
	"label", "unlabel", "unlabel", "leave", "live", "live", "order", "unorder", "unorder", "stop", "kill", "heartbeat",
	"pause", "wake", "wake", "cut-table", "heal-table", "heal-table", "cut-list", "heal-list", "heal-list",
	"cut-entry", "cut-entry", "heal-entry", "wake-request", "wake-request", "kill-request",
	"waver", "nap", "live", "live",
}

func (e event) String() string { return fmt.Sprintf("%s(%d)", e.kind, e.seed) }

// Run implements commands.Command.
func (e event) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*world)
	r := rand.New(rand.NewSource(e.seed))
	i := r.Intn(len(w.entries))
	switch e.kind {
	case "pass":
		w.pass(r, 1+r.Intn(6))
	case "request":
		w.request(i, r.Intn(4) == 0, r)
	case "late":
		w.late(r)
	case "end":
		w.end()
	case "heartbeat":
		w.heartbeat(i)
	case "label", "unlabel":
		w.log = append(w.log, change{at: w.now, leaving: e.kind == "label"})
	case "leave", "live":
		w.list = append(w.list, change{at: w.now, leaving: e.kind == "leave"})
		w.told = false
	case "waver":
		w.list = append(w.list, change{at: w.now, leaving: true})
		w.told = false
		w.pass(r, 2+r.Intn(3))
		w.request(i, false, r)
	case "nap":
		w.nap(r, i)
	case "kill":
		w.restart()
	case "wake-request", "kill-request":
		w.paused = false
		if e.kind == "kill-request" {
			w.restart()
		}
		w.request(i, false, r)
		w.late(r)
	default:
		w.disturb(e.kind, i)
	}
	return w.wrong
}

func (w *world) heartbeat(i int) {
	if w.paused {
		return
	}
	w.learn(w.entries[i])
	w.agent.Heard(w.now)
}

func (w *world) pass(r *rand.Rand, polls int) {
	for range polls {
		w.now += pollEvery
		w.poll(r)
	}
}

// nap pauses the agent while its target begins to leave and an entry is cut
// off; that entry is the first to be heard by the agent when it wakes.
func (w *world) nap(r *rand.Rand, i int) {
	w.paused = true
	w.cut[i] = true
	if r.Intn(2) == 0 {
		w.list = append(w.list, change{at: w.now, leaving: true})
		w.told = false
	} else {
		w.log = append(w.log, change{at: w.now, leaving: true})
	}
	w.pass(r, 10+r.Intn(10))
	w.paused = false
	if r.Intn(2) == 0 {
		w.heartbeat(i)
	}
	w.request(i, false, r)
	w.request(i, false, r)
}

// request sends by what entry i knows; a delayed request stays in flight.
func (w *world) request(i int, delayed bool, r *rand.Rand) {
	revision := w.entries[i]
	if w.log[revision-1].leaving {
		return
	}
	if delayed {
		w.flight = append(w.flight, revision)
		return
	}
	w.arrive(revision, r)
}

func (w *world) late(r *rand.Rand) {
	if len(w.flight) == 0 || w.paused {
		return
	}
	revision := w.flight[0]
	w.flight = w.flight[1:]
	w.arrive(revision, r)
}

func (w *world) end() {
	if w.hand == 0 || w.paused {
		return
	}
	w.hand--
	if err := w.agent.End(); err != nil {
		w.fail("%v", err)
	}
	w.exit()
}

func (w *world) disturb(kind string, i int) {
	switch kind {
	case "order", "unorder":
		w.ordered = kind == "order"
		w.agent.Order(w.ordered, w.now)
	case "stop":
		w.stopped = true
		w.agent.Stop(w.now)
	case "pause", "wake":
		w.paused = kind == "pause"
	case "cut-table", "heal-table":
		w.table = kind == "heal-table"
		w.deaf = w.now
	case "cut-list", "heal-list":
		w.vms = kind == "heal-list"
		w.deaf = w.now
	case "cut-entry", "heal-entry":
		w.cut[i] = kind == "cut-entry"
	}
}

func newEvent(kind string, seed int64) commands.Command { return event{kind: kind, seed: seed} }

func TestProofLeavingTargetGetsNoWorkAndNoneIsCut(t *testing.T) {
	// A target leaves by label or by the list alone, while entries are cut off
	// and send what they routed long before, its agent is paused, stopped,
	// killed or under an order, and the list wavers. A user would notice work
	// at a target that goes away, or answers cut in the middle.
	counts := map[string]int{}
	proof.Run(t, proof.Config{
		Claim: "a leaving target gets no work and none is cut",
		Seed:  5, Runs: 800, Steps: 80,
		Command: proof.Events(kinds, newEvent),
		World:   func() commands.SystemUnderTest { return newWorld(counts) },
	})
	t.Logf("%d accepted, %d refused, %d planned stops", counts["accepted"], counts["refused"], counts["stops"])
	if counts["accepted"] == 0 || counts["refused"] == 0 || counts["stops"] == 0 {
		t.Error("the runs did not reach all ends")
	}
}
