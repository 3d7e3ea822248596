// Package operator contains the API that a gateway serves to operators, and its
// client, which the command line uses.
//
// A failed change reports one of three kinds of error, after which an operator has
// to act differently: it conflicted with another change (conflict: read again), it
// was not allowed or not valid (nothing was changed), or its response was lost (it
// may have taken effect: send the same change again with the same id).
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1/peerv1connect"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
)

// Backend is the part of a gateway that the API uses.
type Backend interface {
	Change(ctx context.Context, p config.Proposal) (config.Change, error)
	State() config.State
	Status(ctx context.Context) ([]*peerv1.NodeStatus, error)
	Explain(ctx context.Context, kind kumquatlug.Kind) ([]dispatch.Explanation, error)
	Timeline(ctx context.Context, requestID string) (*peerv1.EventsResponse, error)
}

// HandlerConfig holds the dependencies of the handler.
type HandlerConfig struct {
	Backend Backend
	// Keys maps the hash of an operator's key to the operator's name.
	Keys   map[string]string
	Logger *zap.Logger
}

// NewHandler returns the path and the handler of the operator API.
func NewHandler(c HandlerConfig) (string, http.Handler) {
	path, handler := peerv1connect.NewOperatorServiceHandler(&server{c: c})
	return path, requireOperatorKey(c.Keys, handler)
}

// authorKey is the context key of the operator's name.
type authorKey struct{}

// requireOperatorKey rejects requests without an operator's key. Callers' keys are
// not in keys, so no caller can use the operator API.
func requireOperatorKey(keys map[string]string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		author, known := lookupAuthor(keys, kumquatlug.HashKey(strings.TrimSpace(key)))
		if !known {
			http.Error(w, `{"code":"unauthenticated","message":"no operator has this key"}`, http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), authorKey{}, author)))
	})
}

func lookupAuthor(keys map[string]string, hash string) (string, bool) {
	author, found := "", false
	for operatorHash, name := range keys {
		if subtle.ConstantTimeCompare([]byte(operatorHash), []byte(hash)) == 1 {
			author, found = name, true
		}
	}
	return author, found
}

// server implements peerv1connect.OperatorServiceHandler.
type server struct {
	c HandlerConfig
}

// Change applies a change as the next revision of the config.
func (s *server) Change(
	ctx context.Context, r *connect.Request[peerv1.ChangeRequest],
) (*connect.Response[peerv1.ChangeResponse], error) {
	author, _ := ctx.Value(authorKey{}).(string)
	p, err := config.NewProposal(config.ProposalConfig{
		ID: r.Msg.GetId(), Author: author, Base: config.Revision(r.Msg.GetBase()), Sets: peer.DecodeSets(r.Msg.GetSets()),
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	change, err := s.c.Backend.Change(ctx, p)
	if err != nil {
		s.c.Logger.Warn("config change failed", zap.String("author", author), zap.String("change", p.ID()), timeline.ErrorField(err))
		return nil, connect.NewError(connectCode(err), err)
	}
	s.c.Logger.Info("config changed", zap.String("author", author), zap.String("change", p.ID()), zap.Int64("revision", int64(change.Revision())))
	return connect.NewResponse(&peerv1.ChangeResponse{Revision: int64(change.Revision())}), nil
}

// connectCode maps conflict, denied and lost to different codes.
func connectCode(err error) connect.Code {
	switch {
	case errors.Is(err, kumquatlug.ErrConflict):
		return connect.CodeAborted
	case errors.Is(err, kumquatlug.ErrLost):
		return connect.CodeUnknown
	case errors.Is(err, kumquatlug.ErrDenied):
		return connect.CodePermissionDenied
	case errors.Is(err, kumquatlug.ErrUnavailable):
		return connect.CodeUnavailable
	default:
		return connect.CodeInvalidArgument
	}
}

// Get returns the config keys with a prefix, without the hashes of callers' keys.
func (s *server) Get(
	_ context.Context, r *connect.Request[peerv1.GetRequest],
) (*connect.Response[peerv1.GetResponse], error) {
	state := s.c.Backend.State()
	response := &peerv1.GetResponse{Revision: int64(state.Revision())}
	state.Range(r.Msg.GetPrefix(), func(key string, value []byte) bool {
		response.Sets = append(response.Sets, &peerv1.Set{Key: key, Value: redactKeyHash(key, value)})
		return true
	})
	return connect.NewResponse(response), nil
}

// redactKeyHash removes the hash of a caller's key from its row.
func redactKeyHash(key string, value []byte) []byte {
	var c kumquatlug.CallerConfig
	if !strings.HasPrefix(key, config.PrefixCaller) || json.Unmarshal(value, &c) != nil {
		return value
	}
	c.KeyHash = ""
	text, err := json.Marshal(c)
	if err != nil {
		return nil
	}
	return text
}

// Status returns every node with the config revision in force there.
func (s *server) Status(
	ctx context.Context, _ *connect.Request[peerv1.StatusRequest],
) (*connect.Response[peerv1.StatusResponse], error) {
	nodes, err := s.c.Backend.Status(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerv1.StatusResponse{Revision: int64(s.c.Backend.State().Revision()), Nodes: nodes}), nil
}

// Explain returns which targets may serve a kind of work and why others may not.
func (s *server) Explain(
	ctx context.Context, r *connect.Request[peerv1.ExplainRequest],
) (*connect.Response[peerv1.ExplainResponse], error) {
	kind := kumquatlug.NewKind(kumquatlug.Protocol(r.Msg.GetProtocol()), r.Msg.GetKind())
	explanations, err := s.c.Backend.Explain(ctx, kind)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &peerv1.ExplainResponse{Revision: int64(s.c.Backend.State().Revision())}
	for _, e := range explanations {
		response.Verdicts = append(response.Verdicts, &peerv1.Verdict{
			Target: e.Target(), Eligible: e.Eligible(), Selector: e.Selector(), Reason: e.Reason(),
		})
	}
	return connect.NewResponse(response), nil
}

// Timeline returns the merged events of all processes.
func (s *server) Timeline(
	ctx context.Context, r *connect.Request[peerv1.TimelineRequest],
) (*connect.Response[peerv1.EventsResponse], error) {
	response, err := s.c.Backend.Timeline(ctx, r.Msg.GetRequestId())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}
