package site

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
)

// storeProxy is one front's way to the store, which may turn it away.
type storeProxy struct {
	store http.Handler
	mu    sync.Mutex
	// opened ends when the front is turned away.
	opened context.Context
	cancel context.CancelFunc
	// inFlight are those under way.
	inFlight sync.WaitGroup
	// responsesLost says that calls are carried out and their answers lost.
	responsesLost bool
}

func newStoreProxy(store http.Handler) *storeProxy {
	p := &storeProxy{store: store}
	p.opened, p.cancel = context.WithCancel(context.Background())
	return p
}

// setBlocked turns the front away or lets it in. When it returns no call of before goes on.
func (p *storeProxy) setBlocked(blocked bool) {
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	p.inFlight.Wait()
	if blocked {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened, p.cancel = context.WithCancel(context.Background())
}

// loseResponses has the answers to the calls from now on lost.
func (p *storeProxy) loseResponses() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responsesLost = true
}

// ServeHTTP passes a call on to the store, and ends one that waits there when the front
// is turned away.
func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	opened := p.opened
	blocked, responsesLost := opened.Err() != nil, p.responsesLost
	if !blocked {
		p.inFlight.Add(1)
		defer p.inFlight.Done()
	}
	p.mu.Unlock()
	if blocked {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if responsesLost {
		p.store.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(opened, cancel)()
	p.store.ServeHTTP(w, r.WithContext(ctx))
}
