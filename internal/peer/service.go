package peer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
)

// Service serves config changes and events to peers in every process. It implements
// peerv1connect.PeerServiceHandler.
type Service struct {
	follower *Follower
	ring     *timeline.Ring
}

// NewService returns a service for the follower and the ring of a process.
func NewService(follower *Follower, ring *timeline.Ring) *Service {
	return &Service{follower: follower, ring: ring}
}

// Pull returns the changes after a revision, or the whole state if this node no
// longer has them.
func (s *Service) Pull(
	ctx context.Context, r *connect.Request[peerv1.PullRequest],
) (*connect.Response[peerv1.PullResponse], error) {
	state := s.follower.State()
	response := &peerv1.PullResponse{Revision: int64(state.Revision())}
	changes, found := s.follower.ChangesSince(ctx, config.Revision(r.Msg.GetSince()))
	if found {
		response.Changes = encodeChanges(changes)
		return connect.NewResponse(response), nil
	}
	response.Whole = true
	response.Sets = EncodeSets(state.Sets())
	return connect.NewResponse(response), nil
}

// Events returns the events after a sequence number.
func (s *Service) Events(
	_ context.Context, r *connect.Request[peerv1.EventsRequest],
) (*connect.Response[peerv1.EventsResponse], error) {
	events, lost := s.ring.After(r.Msg.GetAfter(), r.Msg.GetRequestId())
	return connect.NewResponse(&peerv1.EventsResponse{Events: events, Lost: lost}), nil
}
