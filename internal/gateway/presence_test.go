package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// Guards against a new holder of the lease that assigns roles before it knows which engines are there, against one that
// waits for entries at which nobody answers, and against one that is partitioned from most engines and takes
// them for absent.
func TestRolesWaitForAnswersOfEngines(t *testing.T) {
	v := newTestController(t)
	v.wonAt = 1000
	members := v.g.members.Load().byService["engines"]
	record := func(answered bool, engines ...kumquatlug.Member) {
		for _, m := range engines {
			v.g.scheduler.recordPresence(m, answered)
		}
	}
	require := func(at kumquatlug.Millis, present int, enough bool) {
		t.Helper()
		got, known := v.presentMembers(at, "engines", members)
		if len(got) != present || known != enough {
			t.Errorf("after %d ms: %d engines, enough %v, want %d, %v", at-v.wonAt, len(got), known, present, enough)
		}
	}
	require(1000, 0, false)
	record(true, members[:2]...)
	require(1000, 2, false)
	record(false, members[2])
	require(1000+provingTime-1, 2, false)
	require(1000+provingTime, 2, true)
	record(true, members...)
	require(1000, 4, true)
	now := v.g.c.Clock.Now()
	for _, m := range members[:3] {
		for n := range kumquatlug.Millis(4) {
			v.g.scheduler.services["engines"].placer.RecordPresence(now+n*1000, m, false)
		}
	}
	require(10_000, 1, false)
}

// pairLink passes messages about the presence of workers to one other gateway.
type pairLink struct {
	noLink
	other *Gateway
}

func (l pairLink) SendPresence(_ string, p kumquatlug.WorkerPresence) {
	l.other.PresenceReceived("other", p)
}

// Guards against a holder of the lease that alone can't reach engines, and takes them for absent although peers get
// answers from them, and against a peer that vouches for engines which it can't reach either.
func TestPeersVouchForEnginesThatTheLeaderDoesNotReach(t *testing.T) {
	for _, reached := range []bool{true, false} {
		unreachable := &fakeWorkers{state: func() (kumquatlug.EngineState, error) { return kumquatlug.EngineState{}, lostConnection() }}
		peerWorkers := &fakeWorkers{}
		if !reached {
			peerWorkers = unreachable
		}
		leader, peer := newTestGateway(t, unreachable, manyRetries), newTestGateway(t, peerWorkers, manyRetries)
		leader.g.c.Peers, peer.g.c.Peers = pairLink{other: peer.g}, pairLink{other: leader.g}
		members := leader.g.members.Load().byService["engines"]
		want, others := placement.PresenceProven, placement.PresenceAbsent
		if !reached {
			want, others = others, want
		}
		for end := time.Now().Add(8 * time.Second); ; {
			leader.g.askPresence(t.Context(), "engines")
			counts := map[placement.Presence]int{}
			for _, presence := range leader.g.scheduler.presences("engines") {
				counts[presence]++
			}
			if counts[want] == len(members) {
				break
			}
			if counts[others] > 0 && !reached || time.Now().After(end) {
				t.Fatalf("engines that a peer reaches (%v): %v", reached, counts)
			}
			<-time.After(10 * time.Millisecond)
		}
	}
}

// Guards against requests that fail since entries at which nobody answers use up their attempts, although there is a worker.
func TestAbsentEntriesUseUpNoAttempts(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if c.worker != "sound" {
			return kumquatlug.WorkerResponse{}, kumquatlug.NewFailure(kumquatlug.FailureConfig{
				Step: "connect", Reason: "peer_failed", Execution: kumquatlug.NotExecuted, Status: http.StatusBadGateway,
				Cause: errors.Mark(errors.New("refused"), kumquatlug.ErrUnreachable),
			})
		}
		return wholeResponse(http.StatusOK, "done"), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	members := []kumquatlug.Member{member("sound", "")}
	for n := range 30 {
		members = append(members, member(fmt.Sprint("odd-", n), ""))
	}
	f.g.publishMu.Lock()
	f.g.publish(f.g.c.Clock.Now(), members)
	f.g.publishMu.Unlock()
	for range 3 {
		if got := f.do(t.Context(), http.MethodPost, postRoute); got.status != http.StatusOK {
			t.Errorf("%+v", got)
		}
	}
	if n := len(w.recorded()); n > 3+2*30 {
		t.Errorf("%d attempts", n)
	}
}
