package capacity

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1/peerv1connect"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
)

// peerChanges is the number of changes that the serving peer holds.
const peerChanges = 120

// measurePulls measures pulling config changes from a peer: one change per pull, and
// how the response grows with the number of changes that a node missed.
func measurePulls(ctx context.Context, c Config) ([]Slope, error) {
	s, err := newDeployment(ctx)
	if err != nil {
		return nil, err
	}
	t := &connectionTraffic{}
	l, err := s.listen(t, true)
	if err != nil {
		return nil, err
	}
	follower := peer.NewFollower(peer.FollowerConfig{
		NodeName: "entry-0123", Store: newConfigStore(s.store), Dialer: peer.NewDialer(s.gatewayKeys), Clock: clock.NewMonotonic(),
		Ring: timeline.NewRing("entry-0123", ringSize), Logger: zap.NewNop(), LiveNodes: func() []string { return nil },
	})
	peer.AddTask(s.ctx, &s.group, follower.Run)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(peer.NewService(follower, timeline.NewRing("entry-0123", ringSize))))
	peer.AddServer(&s.group, "serve peers", &http.Server{Handler: mux, TLSConfig: s.gatewayKeys.Server()}, l)
	defer s.start()()
	if err := s.commitPeerChanges(ctx, follower); err != nil {
		return nil, err
	}
	dialer := peer.NewDialer(s.agentKeys)
	defer dialer.Close()
	return measurePullsFrom(ctx, c, t, dialer.Peer(peer.RoleGateway, l.Addr().String()))
}

// commitPeerChanges commits the changes after the follower has started and waits until
// it has adopted them. It serves single changes only if it has adopted them singly.
func (s *deployment) commitPeerChanges(ctx context.Context, follower *peer.Follower) error {
	if err := sleep(ctx, agentStartDelay); err != nil {
		return err
	}
	// A node's first pull returns the whole state. Only later changes are kept
	// individually.
	for _, head := range []config.Revision{1, peerChanges + 1} {
		if err := commitUpTo(ctx, newConfigStore(s.store), int(head)); err != nil {
			return err
		}
		follower.ObserveHead(head)
		if err := waitUntil(ctx, func() bool { return follower.State().Revision() == head }); err != nil {
			return err
		}
	}
	return nil
}

// conditionTimeout is the timeout of waitUntil.
const conditionTimeout = 10 * time.Second

// waitUntil polls condition until it returns true. It returns an error after
// conditionTimeout or when ctx ends.
func waitUntil(ctx context.Context, condition func() bool) error {
	const interval = 20 * time.Millisecond
	for waited := time.Duration(0); !condition(); waited += interval {
		if waited >= conditionTimeout {
			return errors.New("timed out waiting for a condition of the deployment")
		}
		if err := sleep(ctx, interval); err != nil {
			return err
		}
	}
	return nil
}

func measurePullsFrom(ctx context.Context, c Config, t *connectionTraffic, client peerv1connect.PeerServiceClient) ([]Slope, error) {
	pull := func(changes int64) error {
		response, err := client.Pull(ctx, connect.NewRequest(&peerv1.PullRequest{Since: peerChanges + 1 - changes, Node: "drafting-01234"}))
		if err == nil && int64(len(response.Msg.GetChanges())) != changes {
			err = errors.Newf("got %d changes, want %d", len(response.Msg.GetChanges()), changes)
		}
		return err
	}
	sizes := []int{c.scaledSize(200, 3), c.scaledSize(1200, 9)}
	slopes, err := measureExchanges(exchangeConfig{
		costName: "pull of one change from a peer", countedObject: "pull", sizes: sizes, traffic: t, exchange: func() error { return pull(1) },
	})
	if err != nil {
		return nil, err
	}
	var bytes, nanos []Point
	rounds := c.scaledSize(100, 2)
	for _, missed := range []int{1, 101} {
		before := t.snapshot()
		took, err := minProcessorTime(func() error { return repeat(rounds, func() error { return pull(int64(missed)) }) })
		if err != nil {
			return nil, err
		}
		bytes = append(bytes, NewPoint(missed, float64(t.snapshot().sub(before).wireBytes())/float64(rounds*repetitions)))
		nanos = append(nanos, NewPoint(missed, float64(took.Nanoseconds())/float64(rounds)))
	}
	more, err := newSlopes([]slopeConfig{
		{"pull that missed many: wire, with TLS", "further change", UnitBytes, bytes},
		{"pull that missed many: both ends", "further change", UnitProcessorNanos, nanos},
	})
	if err != nil {
		return nil, err
	}
	adopted, err := measureAdoption(c)
	return append(append(slopes, more...), adopted), err
}

// measureAdoption measures applying a change to a state of 10,000 rows, without the
// work that the process does in response.
func measureAdoption(c Config) (Slope, error) {
	sets, err := newTargetSets(10_000)
	if err != nil {
		return Slope{}, err
	}
	changes, err := newLabelChanges(c.scaledSize(2200, 20))
	if err != nil {
		return Slope{}, err
	}
	a := config.NewAdopter(config.AdopterConfig{NodeName: "entry-0123", InitialState: config.NewState(0, sets)})
	i := 0
	return slopePerRound("change adopted in 10,000 rows", "change", [2]int{c.scaledSize(100, 1), c.scaledSize(500, 4)}, func() {
		_, _, _ = a.Adopt(changes[i : i+1])
		i++
	})
}

func repeat(n int, run func() error) error {
	for range n {
		if err := run(); err != nil {
			return err
		}
	}
	return nil
}
