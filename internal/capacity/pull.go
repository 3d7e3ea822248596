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

// pullChanges is how many changes the peer holds that is pulled from.
const pullChanges = 120

// pulls measures a pull of the config from a peer: one for each change, and how
// the answer grows when a node missed more of them.
func pulls(ctx context.Context, c Config) ([]Slope, error) {
	s, err := newSite(ctx)
	if err != nil {
		return nil, err
	}
	t := &traffic{}
	l, err := s.listen(t, true)
	if err != nil {
		return nil, err
	}
	f := peer.NewFollower(peer.FollowerConfig{
		Me: "entry-0123", Store: storeOver(s.platform), Dialer: peer.NewDialer(s.entry), Clock: clock.NewMonotonic(),
		Ring: timeline.NewRing("entry-0123", ringEvents), Logger: zap.NewNop(), Live: func() []string { return nil },
	})
	peer.AddDuty(s.ctx, &s.group, f.Run)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(peer.NewService(f, timeline.NewRing("entry-0123", ringEvents))))
	peer.AddServer(&s.group, "serve peers", &http.Server{Handler: mux, TLSConfig: s.entry.Server()}, l)
	defer s.start()()
	if err := s.fill(ctx, f); err != nil {
		return nil, err
	}
	dialer := peer.NewDialer(s.agent)
	defer dialer.Close()
	return pullsFrom(ctx, c, t, dialer.Peer(peer.RoleEntry, l.Addr().String()))
}

// fill commits the changes once the follower runs and waits until it has
// adopted them one by one, as it must to hand them on.
func (s *site) fill(ctx context.Context, f *peer.Follower) error {
	if err := pause(ctx, settled); err != nil {
		return err
	}
	// A node's first pull brings the whole state; only the changes after it are
	// kept one by one.
	for _, head := range []config.Revision{1, pullChanges + 1} {
		if err := commitAll(ctx, storeOver(s.platform), int(head)); err != nil {
			return err
		}
		f.LearnedHead(head)
		if err := until(ctx, func() bool { return f.State().Revision() == head }); err != nil {
			return err
		}
	}
	return nil
}

// patience bounds the waits for a condition.
const patience = 10 * time.Second

// until waits for a condition.
func until(ctx context.Context, holds func() bool) error {
	const look = 20 * time.Millisecond
	for waited := time.Duration(0); !holds(); waited += look {
		if waited >= patience {
			return errors.New("waited in vain for a stand-in")
		}
		if err := pause(ctx, look); err != nil {
			return err
		}
	}
	return nil
}

func pullsFrom(ctx context.Context, c Config, t *traffic, client peerv1connect.PeerServiceClient) ([]Slope, error) {
	pull := func(missed int64) error {
		answer, err := client.Pull(ctx, connect.NewRequest(&peerv1.PullRequest{Since: pullChanges + 1 - missed, Node: "drafting-01234"}))
		if err == nil && int64(len(answer.Msg.GetChanges())) != missed {
			err = errors.Newf("%d changes came, not %d", len(answer.Msg.GetChanges()), missed)
		}
		return err
	}
	sizes := []int{c.size(200, 3), c.size(1200, 9)}
	slopes, err := exchanges(exchangeConfig{
		what: "pull of one change from a peer", per: "pull", sizes: sizes, traffic: t, once: func() error { return pull(1) },
	})
	if err != nil {
		return nil, err
	}
	var bytes, nanos []Point
	rounds := c.size(100, 2)
	for _, missed := range []int{1, 101} {
		before := t.read()
		took, err := leastSpent(func() error { return repeat(rounds, func() error { return pull(int64(missed)) }) })
		if err != nil {
			return nil, err
		}
		bytes = append(bytes, NewPoint(missed, float64(t.read().since(before).both())/float64(rounds*runs)))
		nanos = append(nanos, NewPoint(missed, float64(took.Nanoseconds())/float64(rounds)))
	}
	more, err := slopesOf([]slopeConfig{
		{"pull that missed many: wire, with TLS", "further change", UnitBytes, bytes},
		{"pull that missed many: both ends", "further change", UnitNanos, nanos},
	})
	if err != nil {
		return nil, err
	}
	adopted, err := adoptions(c)
	return append(append(slopes, more...), adopted), err
}

// adoptions measures bringing a change into force in a state of 10,000 rows,
// without what the process then does by it.
func adoptions(c Config) (Slope, error) {
	sets, err := targetSets(10_000)
	if err != nil {
		return Slope{}, err
	}
	changes, err := labelChanges(c.size(2200, 20))
	if err != nil {
		return Slope{}, err
	}
	a := config.NewAdopter(config.AdopterConfig{Me: "entry-0123", Start: config.NewState(0, sets)})
	i := 0
	return perRound("change adopted in 10,000 rows", "change", [2]int{c.size(100, 1), c.size(500, 4)}, func() {
		_, _, _ = a.Adopt(changes[i : i+1])
		i++
	})
}

func repeat(n int, once func() error) error {
	for range n {
		if err := once(); err != nil {
			return err
		}
	}
	return nil
}
