package standin2

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
)

// member is a worker at a fixed address and under a fixed id, through all its starts.
type member struct {
	d                           *deployment
	id, service, stage, address string
	events                      int
	delay                       time.Duration
	mu                          sync.Mutex
	current                     *fleet.Worker
	startedAt                   time.Time
	// switches says that orders are carried out as the protocol says.
	switches bool
	// room is what the engines have for running streams that are moved, nil for enough.
	room *room
	// slots are used if room is set.
	slots    slots
	server   *http.Server
	starts   []*fleet.Worker
	versions map[*fleet.Worker]string
}

// newMember starts a worker on a free port and writes its entry.
func (d *deployment) newMember(id, service, stage, version string, events int, delay time.Duration) (*member, error) {
	return d.startMember(&member{d: d, id: id, service: service, stage: stage, events: events, delay: delay}, version)
}

// newEngine does the same for an engine that takes its time to change its stage.
func (d *deployment) newEngine(id, service, stage, version string, events int, delay time.Duration) (*member, error) {
	return d.startMember(&member{d: d, id: id, service: service, stage: stage, events: events, delay: delay, switches: true}, version)
}

func (d *deployment) startMember(m *member, version string) (*member, error) {
	m.versions = map[*fleet.Worker]string{}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	m.address = address
	if err := m.start(version); err != nil {
		return nil, err
	}
	m.register("ready")
	return m, nil
}

// start starts the worker with a version of its software. It holds and knows nothing of before.
func (m *member) start(version string) error {
	w := fleet.New(fleet.Config{
		ID: m.id, Service: m.service, Address: m.address, Zone: zone, Stage: m.stage, Slots: 16, Events: m.events, Delay: m.delay, Version: version,
	})
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", m.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("start %s: %w", m.id, err)
	}
	var handler http.Handler = w
	if m.switches {
		handler = &switching{m: m, next: w}
	}
	if m.room != nil {
		handler = &movable{m: m, next: handler}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	m.mu.Lock()
	m.current, m.server, m.startedAt = w, server, time.Now()
	m.starts = append(m.starts, w)
	m.versions[w] = version
	m.mu.Unlock()
	m.d.ledger.note("worker %s starts at %s with software version %s", m.id, m.address, version)
	go func() { _ = server.Serve(l) }()
	return nil
}

// register writes the entry of the running worker.
func (m *member) register(state string) {
	m.mu.Lock()
	row := m.current.Row(state)
	m.mu.Unlock()
	m.d.store.Put("servers", m.id, row)
	m.d.ledger.note("entry servers/%s: %s", m.id, row)
}

// crash ends the worker and all its connections.
func (m *member) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.d.ledger.note("worker %s ends", m.id)
	_ = m.server.Close()
}

// versionsOfEvent returns the software versions at which starts of the worker sent an event to a request.
func (m *member) versionsOfEvent(id string, n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []string
	for _, w := range m.starts {
		if w.StreamedEvent(id, n) {
			found = append(found, m.versions[w])
		}
	}
	return found
}

// worker returns the running worker.
func (m *member) worker() *fleet.Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// born returns when the running worker started.
func (m *member) born() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startedAt
}

// setStage changes the stage of the running worker.
func (m *member) setStage(stage string) {
	order := fmt.Sprintf(`{"op":"stage","stage":%q,"holder":"worker","fence":1}`, stage)
	m.worker().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/order", strings.NewReader(order)))
}
