package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
)

// fakeBackend is a gateway whose changes fail with err, if set.
type fakeBackend struct {
	err     error
	changes []string
	authors []string
}

func (b *fakeBackend) Change(_ context.Context, p config.Proposal) (config.Change, error) {
	b.changes = append(b.changes, p.ID())
	b.authors = append(b.authors, p.Author())
	return config.NewChange(7, p.ID(), p.Author(), p.Sets()), b.err
}

func (b *fakeBackend) State() config.State { return config.State{} }

func (b *fakeBackend) Status(context.Context) ([]*peerv1.NodeStatus, error) { return nil, nil }

func (b *fakeBackend) Explain(context.Context, kumquatlug.Kind) ([]dispatch.Explanation, error) {
	return nil, nil
}

func (b *fakeBackend) Timeline(context.Context, string) (*peerv1.EventsResponse, error) {
	return &peerv1.EventsResponse{}, nil
}

func apply(t *testing.T, backend *fakeBackend, key string) (config.Revision, error) {
	t.Helper()
	return newTestClient(t, backend, key).Apply(context.Background(), 3, config.NewSet("target/t1", []byte("{}")))
}

func list(t *testing.T, backend *fakeBackend, key string) ([]config.Set, error) {
	t.Helper()
	sets, _, err := newTestClient(t, backend, key).Get(context.Background(), "")
	return sets, err
}

func newTestClient(t *testing.T, backend *fakeBackend, key string) *Client {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(NewHandler(HandlerConfig{
		Backend: backend, Keys: map[string]string{kumquatlug.HashKey("right"): "ana"}, Logger: zap.NewNop(),
	}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	client, err := NewClient(ClientConfig{URL: server.URL, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// What an operator has to do after a failed change depends on whether it conflicted,
// was denied, was not applied or may have been applied.
func TestApplyDistinguishesErrors(t *testing.T) {
	cause := errors.New("table error")
	kinds := []error{kumquatlug.ErrConflict, kumquatlug.ErrDenied, kumquatlug.ErrUnavailable, kumquatlug.ErrLost}
	for i, kind := range kinds {
		_, err := apply(t, &fakeBackend{err: errors.Mark(cause, kind)}, "right")
		for j, other := range kinds {
			if errors.Is(err, other) != (i == j) {
				t.Errorf("error of a change that failed with %q: %v", kind, err)
			}
		}
	}
}

// If a change whose response was lost were sent again with another id, it would be
// applied twice and undo changes made in between.
func TestLostChangeIsResentWithSameID(t *testing.T) {
	backend := &fakeBackend{err: errors.Mark(errors.New("no response"), kumquatlug.ErrLost)}
	if _, err := apply(t, backend, "right"); !errors.Is(err, kumquatlug.ErrLost) {
		t.Fatalf("error %v, want it marked as lost", err)
	}
	if len(backend.changes) != maxSendAttempts {
		t.Fatalf("the change was sent %d times", len(backend.changes))
	}
	for _, id := range backend.changes {
		if id != backend.changes[0] {
			t.Fatalf("sent with ids %v", backend.changes)
		}
	}
}

func TestOnlyOperatorsHaveAccess(t *testing.T) {
	backend := &fakeBackend{}
	if _, err := apply(t, backend, "wrong"); !errors.Is(err, kumquatlug.ErrDenied) || len(backend.changes) != 0 {
		t.Errorf("change with an unknown key: error %v", err)
	}
	if _, err := list(t, backend, "wrong"); !errors.Is(err, kumquatlug.ErrDenied) {
		t.Errorf("read with an unknown key: error %v", err)
	}
	revision, err := apply(t, backend, "right")
	if err != nil || revision != 7 || backend.authors[0] != "ana" {
		t.Errorf("revision %d by %v, %v", revision, backend.authors, err)
	}
}
