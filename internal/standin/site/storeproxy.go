package site

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
)

// storeProxy forwards the store calls of one gateway and can block them.
type storeProxy struct {
	store http.Handler
	mu    sync.Mutex
	// proxyCtx is cancelled while the gateway is blocked.
	proxyCtx context.Context
	cancel   context.CancelFunc
	// inFlight are the calls in flight.
	inFlight sync.WaitGroup
	// responsesLost means that calls take effect but get no response.
	responsesLost bool
}

func newStoreProxy(store http.Handler) *storeProxy {
	p := &storeProxy{store: store}
	p.proxyCtx, p.cancel = context.WithCancel(context.Background())
	return p
}

// setBlocked blocks or unblocks the gateway. It returns once all earlier calls
// have ended.
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
	p.proxyCtx, p.cancel = context.WithCancel(context.Background())
}

// loseResponses drops the responses to all later calls.
func (p *storeProxy) loseResponses() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responsesLost = true
}

// ServeHTTP forwards a call to the store. It cancels a waiting call when the
// gateway is blocked.
func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	proxyCtx := p.proxyCtx
	blocked, responsesLost := proxyCtx.Err() != nil, p.responsesLost
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
	defer context.AfterFunc(proxyCtx, cancel)()
	p.store.ServeHTTP(w, r.WithContext(ctx))
}
