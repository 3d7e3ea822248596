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

// desk is an entry whose changes end as the test says.
type desk struct {
	err     error
	changes []string
	authors []string
}

func (d *desk) Change(_ context.Context, p config.Proposal) (config.Change, error) {
	d.changes = append(d.changes, p.ID())
	d.authors = append(d.authors, p.Author())
	return config.NewChange(7, p.ID(), p.Author(), p.Sets()), d.err
}

func (d *desk) State() config.State { return config.State{} }

func (d *desk) Status(context.Context) ([]*peerv1.NodeStatus, error) { return nil, nil }

func (d *desk) Explain(context.Context, kumquatlug.Kind) ([]dispatch.Explanation, error) {
	return nil, nil
}

func (d *desk) Timeline(context.Context, string) (*peerv1.EventsResponse, error) {
	return &peerv1.EventsResponse{}, nil
}

func apply(t *testing.T, d *desk, key string) (config.Revision, error) {
	t.Helper()
	return connected(t, d, key).Apply(context.Background(), 3, config.NewSet("target/t1", []byte("{}")))
}

func list(t *testing.T, d *desk, key string) ([]config.Set, error) {
	t.Helper()
	sets, _, err := connected(t, d, key).Get(context.Background(), "")
	return sets, err
}

func connected(t *testing.T, d *desk, key string) *Client {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(NewHandler(HandlerConfig{
		Desk: d, Keys: map[string]string{kumquatlug.HashKey("right"): "ana"}, Logger: zap.NewNop(),
	}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	client, err := NewClient(ClientConfig{URL: server.URL, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// A change fails. Whether it met another one, was not allowed, did not happen or
// may have happened decides what an operator has to do next.
func TestFailedChangesAreToldApart(t *testing.T) {
	failed := errors.New("something at the table")
	kinds := []error{kumquatlug.ErrConflict, kumquatlug.ErrDenied, kumquatlug.ErrUnavailable, kumquatlug.ErrLost}
	for i, kind := range kinds {
		_, err := apply(t, &desk{err: errors.Mark(failed, kind)}, "right")
		for j, other := range kinds {
			if errors.Is(err, other) != (i == j) {
				t.Errorf("a change that ended as %q is told as %v", kind, err)
			}
		}
	}
}

// An answer is lost on the way. Sent again under another id the change would be
// made twice, and undo what somebody changed in between.
func TestLostChangeIsSentAgainUnderItsId(t *testing.T) {
	d := &desk{err: errors.Mark(errors.New("no answer"), kumquatlug.ErrLost)}
	if _, err := apply(t, d, "right"); !errors.Is(err, kumquatlug.ErrLost) {
		t.Fatalf("told as %v", err)
	}
	if len(d.changes) != sendings {
		t.Fatalf("sent %d times", len(d.changes))
	}
	for _, id := range d.changes {
		if id != d.changes[0] {
			t.Fatalf("sent under %v", d.changes)
		}
	}
}

func TestOnlyOperatorsMayChange(t *testing.T) {
	d := &desk{}
	if _, err := apply(t, d, "wrong"); !errors.Is(err, kumquatlug.ErrDenied) || len(d.changes) != 0 {
		t.Errorf("a stranger's change ended as %v", err)
	}
	if _, err := list(t, d, "wrong"); !errors.Is(err, kumquatlug.ErrDenied) {
		t.Errorf("a stranger's question ended as %v", err)
	}
	revision, err := apply(t, d, "right")
	if err != nil || revision != 7 || d.authors[0] != "ana" {
		t.Errorf("revision %d by %v, %v", revision, d.authors, err)
	}
}
