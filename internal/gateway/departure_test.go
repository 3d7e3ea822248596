package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// saysItLeaves returns a reply with the mark of a worker that leaves.
func saysItLeaves(r kumquatlug.Reply) kumquatlug.Reply {
	return kumquatlug.NewReply(kumquatlug.ReplyConfig{
		Status: r.Status(), Header: r.Header(), Length: r.Length(), Body: r.Body(), Refused: r.Refused(), Leaving: true,
	})
}

// states returns what each worker counts as.
func (w *watched) states() map[string]kumquatlug.MemberState {
	states := map[string]kumquatlug.MemberState{}
	for _, members := range w.g.members.Load().byService {
		for _, m := range members {
			states[m.Worker.ID()] = m.State
		}
	}
	return states
}

// A worker said that it leaves, and the store, back from an outage, tells its old row, loses
// it and tells it again. Put back by the row, it would be sent requests until its end.
func TestAnOldRowDoesNotPutBackAWorkerThatLeaves(t *testing.T) {
	w := newWatched()
	w.step()
	w.g.departures.note(w.now.Now(), "a", 0)
	w.g.republish()
	read := func() {
		w.feed.version++
		w.follower.known = false
		w.now.Advance(10 * kumquatlug.Second)
		w.step()
	}
	want := func(when string) {
		t.Helper()
		if got := w.states(); got["a"] != kumquatlug.MemberDraining || got["b"] != kumquatlug.MemberReady {
			t.Errorf("%s: %v", when, got)
		}
	}
	want("at once")
	read()
	want("after its row was read again")
	row := w.feed.rows["a"]
	delete(w.feed.rows, "a")
	read()
	w.feed.rows["a"] = row
	read()
	want("after its row was gone and is back")
}

// A worker starts again under its name. Taken for the one that left, it would be idle for
// good.
func TestAWorkerThatStartsAgainIsReady(t *testing.T) {
	d := newDepartures()
	d.note(0, "a", 100)
	again := member("a", "")
	again.Born = 200
	members := []kumquatlug.Member{again}
	d.mark(members)
	if members[0].State != kumquatlug.MemberReady {
		t.Errorf("%+v", members[0])
	}
}

// Whatever a worker answers, a refusal, a failure or a prompt that was read, it may say that
// it leaves. The next request must go elsewhere, and with nobody left be refused at once.
func TestAnyAnswerMayTellThatAWorkerLeaves(t *testing.T) {
	for name, reply := range map[string]func() kumquatlug.Reply{
		"answer": func() kumquatlug.Reply { return whole(http.StatusOK, "done") }, "refusal": refusedReply,
		"failure": func() kumquatlug.Reply { return whole(http.StatusInternalServerError, "") },
	} {
		w := &fakeWorkers{run: func(context.Context, int, call) (kumquatlug.Reply, error) { return saysItLeaves(reply()), nil }}
		f := newFront(t, w, manyRepeats)
		for range 2 {
			f.ask(context.Background(), http.MethodPost, post)
		}
		got := f.ask(context.Background(), http.MethodPost, post)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Ran") != "not-run" || got.took > time.Second {
			t.Errorf("%s: %+v", name, got)
		}
		sent := map[string]int{}
		for _, c := range w.made() {
			sent[c.worker]++
		}
		if sent["s1"] != 1 || sent["s2"] != 1 {
			t.Errorf("%s: sent %v", name, sent)
		}
	}
	w := &fakeWorkers{
		run: func(context.Context, int, call) (kumquatlug.Reply, error) { return streamed(1, 2), nil },
		prefill: func(context.Context, int, call) (kumquatlug.KVCache, kumquatlug.Reply, error) {
			return kumquatlug.NewKVCache("10.0.0.1:1", "h"), saysItLeaves(whole(http.StatusOK, "")), nil
		},
	}
	f := newFront(t, w, manyRepeats)
	for range 4 {
		f.ask(context.Background(), http.MethodPost, long)
	}
	read := map[string]int{}
	for _, c := range w.made() {
		if c.prefill {
			read[c.worker]++
		}
	}
	if len(read) != 2 || read["p1"] != 1 || read["p2"] != 1 {
		t.Errorf("prompts read: %v", read)
	}
}
