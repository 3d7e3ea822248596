package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
)

// workerCall is one attempt that the gateway made at a worker.
type workerCall struct {
	worker  string
	request kumquatlug.Request
	options kumquatlug.AttemptOptions
	prefill bool
}

// fakeWorkers records attempts and responds to them with the functions of a test.
type fakeWorkers struct {
	mu       sync.Mutex
	calls    []workerCall
	released []kumquatlug.KVCacheRef
	run      func(ctx context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error)
	prefill  func(ctx context.Context, n int, c workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error)
	move     func(ctx context.Context, from, to string) (kumquatlug.KVCacheRef, error)
	state    func() (kumquatlug.EngineState, error)
	// life tells whether a worker runs; all run if it is nil.
	life  func(worker string) kumquatlug.WorkerLife
	order func() (bool, error)
	// unreachable reports whether no connection can be made for an attempt, nil if none fails.
	unreachable func(c workerCall) bool
}

func (w *fakeWorkers) record(c workerCall) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
	n := 0
	for _, before := range w.calls {
		if before.prefill == c.prefill {
			n++
		}
	}
	return n
}

// recorded returns the attempts so far.
func (w *fakeWorkers) recorded() []workerCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]workerCall(nil), w.calls...)
}

func (w *fakeWorkers) Run(
	ctx context.Context, to kumquatlug.Worker, a kumquatlug.Request, s kumquatlug.AttemptOptions,
) (kumquatlug.WorkerResponse, error) {
	c := workerCall{worker: to.ID(), request: a, options: s}
	if s.OnSend != nil && (w.unreachable == nil || !w.unreachable(c)) {
		s.OnSend()
	}
	return w.run(ctx, w.record(c), c)
}

func (w *fakeWorkers) Prefill(
	ctx context.Context, to kumquatlug.Worker, a kumquatlug.Request, s kumquatlug.AttemptOptions,
) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
	c := workerCall{worker: to.ID(), request: a, options: s, prefill: true}
	n := w.record(c)
	if w.prefill != nil {
		return w.prefill(ctx, n, c)
	}
	return kumquatlug.NewKVCacheRef("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
}

func (w *fakeWorkers) ReleaseCache(_ context.Context, k kumquatlug.KVCacheRef) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.released = append(w.released, k)
	return nil
}

func (w *fakeWorkers) MoveStream(
	ctx context.Context, from kumquatlug.Worker, _ kumquatlug.Request, to kumquatlug.Worker,
) (kumquatlug.KVCacheRef, error) {
	if w.move == nil {
		return kumquatlug.KVCacheRef{}, kumquatlug.ErrNotFound
	}
	return w.move(ctx, from.ID(), to.ID())
}

func (w *fakeWorkers) State(context.Context, kumquatlug.Worker) (kumquatlug.EngineState, error) {
	if w.state != nil {
		return w.state()
	}
	return kumquatlug.EngineState{Reconfiguring: true}, nil
}

func (w *fakeWorkers) Life(_ context.Context, to kumquatlug.Worker, _ string, _ int64) kumquatlug.WorkerLife {
	if w.life == nil {
		return kumquatlug.WorkerRuns
	}
	return w.life(to.ID())
}

func (w *fakeWorkers) Order(context.Context, kumquatlug.Worker, kumquatlug.RoleOrder) (bool, error) {
	if w.order != nil {
		return w.order()
	}
	return false, nil
}

// wholeResponse returns a complete response of a worker.
func wholeResponse(status int, text string) kumquatlug.WorkerResponse {
	return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
		Status: status, Header: http.Header{"Stamp": {"s"}}, Length: int64(len(text)), Body: io.NopCloser(strings.NewReader(text)),
	})
}

// truncatedBody returns an error instead of io.EOF.
type truncatedBody struct{ io.Reader }

func (c truncatedBody) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (truncatedBody) Close() error { return nil }

// truncatedResponse returns a response that breaks off after text. A stream has length
// -1.
func truncatedResponse(text string, length int64) kumquatlug.WorkerResponse {
	return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
		Status: 200, Header: http.Header{"Stamp": {"s"}}, Length: length, Body: truncatedBody{strings.NewReader(text)},
	})
}

// events returns a complete stream with the events numbered from through to.
func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", n)
	}
	return b.String()
}

func streamResponse(from, to int) kumquatlug.WorkerResponse {
	return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
		Status: 200, Header: http.Header{"Stamp": {"s"}}, Length: -1, Body: io.NopCloser(strings.NewReader(events(from, to))),
	})
}

// refusedResponse returns a response that states that the worker did not run the
// request.
func refusedResponse() kumquatlug.WorkerResponse {
	return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
		Status: 503, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), Refused: true,
	})
}

// lostConnection returns a failure after which the request may have run.
func lostConnection() error {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{Step: "exchange", Reason: "peer_failed", Execution: kumquatlug.ExecutionUnknown})
}

// plainIngress decodes the requests that tests send.
type plainIngress struct{}

func (plainIngress) Decode(r *http.Request) (kumquatlug.Request, error) {
	var prompt kumquatlug.Prompt
	if r.URL.Query().Get("tokens") != "" {
		var in, out int
		if _, err := fmt.Sscanf(r.URL.Query().Get("tokens"), "%d,%d", &in, &out); err != nil {
			return kumquatlug.Request{}, err
		}
		prompt = kumquatlug.NewPrompt([]kumquatlug.Part{
			kumquatlug.NewPart("shared", in*2/3), kumquatlug.NewPart("own", in/3),
		}, in, out)
	}
	return kumquatlug.NewRequest(kumquatlug.RequestConfig{
		ID: r.Header.Get("Id"), Host: "h", Method: r.Method, Path: r.URL.Path, Target: r.URL.Path,
		Timeout: parseTimeout(r), LastEventID: parseEventID(r), Resumes: r.Header.Get("Resumes"), Prompt: prompt, Credential: kumquatlug.NewCredential(r.Header["Secret"]),
	}), nil
}

// parseTimeout returns the client's timeout, 2 s if it sends none.
func parseTimeout(r *http.Request) kumquatlug.Millis {
	timeout, err := strconv.ParseInt(r.Header.Get("Timeout-Ms"), 10, 64)
	if err != nil {
		return 2000
	}
	return kumquatlug.Millis(timeout)
}

// parseEventID returns the number of the last event that a client has received.
func parseEventID(r *http.Request) int64 {
	id, err := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (plainIngress) WriteHeader(w http.ResponseWriter, response kumquatlug.WorkerResponse) {
	w.Header().Set("Stamp", response.Header().Get("Stamp"))
	if response.Length() >= 0 {
		w.Header().Set("Content-Length", fmt.Sprint(response.Length()))
	}
	w.WriteHeader(response.Status())
}

func (plainIngress) WriteError(w http.ResponseWriter, _ kumquatlug.Request, f *kumquatlug.Failure) {
	w.Header().Set("Ran", string(f.Execution()))
	w.Header().Set("Reason", f.Reason())
	w.Header().Set("Content-Length", "0")
	if f.RetryAfter() > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(f.RetryAfter()))
	}
	w.WriteHeader(f.Status())
}

// jsonRowDecoder decodes the JSON rows that tests write.
type jsonRowDecoder struct{}

func (jsonRowDecoder) DecodeConfig(value []byte) (kumquatlug.OperatorConfig, error) {
	var version int64
	err := json.Unmarshal(value, &version)
	return kumquatlug.OperatorConfig{Version: version}, err
}

func (jsonRowDecoder) DecodeMember(row kumquatlug.Row) (kumquatlug.Member, error) {
	var role string
	if err := json.Unmarshal(row.Value(), &role); err != nil {
		return kumquatlug.Member{}, err
	}
	return member(row.Key(), kumquatlug.Role(role)), nil
}

func member(id string, role kumquatlug.Role) kumquatlug.Member {
	service := "engines"
	if role == "" {
		service = "desk"
	}
	return kumquatlug.Member{
		Worker: kumquatlug.NewWorker(id, "10.0.0.1:1").WithVersion("v1"), Service: service, Zone: "z", State: kumquatlug.MemberReady, Slots: 8, Role: role,
	}
}

// unavailableTable is a store that can't be reached.
type unavailableTable struct{}

func (unavailableTable) Get(context.Context, string) (kumquatlug.Row, error) {
	return kumquatlug.Row{}, kumquatlug.ErrUnavailable
}

func (unavailableTable) Scan(context.Context, string, string, int) ([]kumquatlug.Row, error) {
	return nil, kumquatlug.ErrUnavailable
}

func (unavailableTable) Commit(context.Context, kumquatlug.Tx) error {
	return kumquatlug.ErrUnavailable
}

// sharedTable is a store that has the pools of retries, the listings of versions and the records of running streams, and
// nothing else.
type sharedTable struct {
	mu   sync.Mutex
	rows map[string]kumquatlug.Row
	// scans counts the reads of the records of running streams.
	scans int
	// ahead is the difference between the table's clock and the time, era that of its content.
	ahead kumquatlug.Millis
	era   int64
}

// advance moves the table's clock.
func (l *sharedTable) advance(by kumquatlug.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ahead += by
}

func newSharedTable() *sharedTable { return &sharedTable{rows: map[string]kumquatlug.Row{}} }

func sharedKey(key string) bool {
	return strings.HasPrefix(key, poolRowPrefix) || strings.HasPrefix(key, versionsRowPrefix) || strings.HasPrefix(key, streamsRowPrefix)
}

func (l *sharedTable) Get(_ context.Context, key string) (kumquatlug.Row, error) {
	if !sharedKey(key) {
		return kumquatlug.Row{}, kumquatlug.ErrUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := kumquatlug.Millis(time.Now().UnixMilli()) + l.ahead
	row := l.rows[key]
	if !row.Exists() {
		row = kumquatlug.NewRow(key, nil, 0).WithEra(l.era)
	}
	return row.WithReadAt(now), nil
}

func (l *sharedTable) Scan(_ context.Context, prefix, _ string, _ int) ([]kumquatlug.Row, error) {
	if prefix != streamsRowPrefix {
		return nil, kumquatlug.ErrUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scans++
	var rows []kumquatlug.Row
	for key, row := range l.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row.WithReadAt(kumquatlug.Millis(time.Now().UnixMilli())+l.ahead))
		}
	}
	return rows, nil
}

func (l *sharedTable) Commit(_ context.Context, tx kumquatlug.Tx) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range tx.Writes() {
		if !sharedKey(w.Key()) {
			return kumquatlug.ErrUnavailable
		}
		if len(tx.Conditions()) > 0 && tx.Conditions()[0].Version() != l.rows[w.Key()].Version() {
			return kumquatlug.ErrConflict
		}
		if w.Deleted() {
			delete(l.rows, w.Key())
			continue
		}
		l.rows[w.Key()] = kumquatlug.NewRow(w.Key(), w.Value(), l.rows[w.Key()].Version()+1).WithEra(l.era)
	}
	return nil
}

// testGateway is a gateway behind a listener, with a fixed set of members and routes.
type testGateway struct {
	g       *Gateway
	workers *fakeWorkers
	url     string
}

// newTestGateway returns a gateway with a pool of this many retries.
func newTestGateway(t testing.TB, w *fakeWorkers, retries int) *testGateway {
	t.Helper()
	return newTestGatewayWithPlacement(t, w, retries, placement.Config{})
}

func newTestGatewayWithPlacement(t testing.TB, w *fakeWorkers, retries int, c placement.Config) *testGateway {
	t.Helper()
	// A pool has nine of ten retries of its budget.
	minRetries := (retries*10 + 8) / 9
	now := clock.NewMonotonic()
	g := New(Config{
		Name: "n", Zone: "z", Incarnation: "i", Ingress: plainIngress{}, RowDecoder: jsonRowDecoder{}, Workers: w, Table: newSharedTable(),
		Clock: now, BootClock: now, GracePeriod: 4000, HandoverDelay: 100,
		RetryBudget:  retry.SharedBudgetConfig{MinRetries: minRetries, Window: 10_000},
		MaxBodyBytes: 1000, MaxBufferBytes: 1000,
		PrefillShare: 0.5, Placement: c, CloseIdle: func(func(string) bool) {}, Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	t.Cleanup(func() {
		for service, stats := range g.scheduler.retryStats() {
			if stats.Uncharged > 0 {
				t.Errorf("%s: workers received %d attempts that were not charged to the retry budget", service, stats.Uncharged)
			}
		}
	})
	g.table.Store(testTable(7))
	g.crashes.loaded = true
	set := &memberSet{loaded: true, byService: map[string][]kumquatlug.Member{
		"engines": {
			member("p1", kumquatlug.RolePrefill), member("p2", kumquatlug.RolePrefill),
			member("d1", kumquatlug.RoleDecode), member("d2", kumquatlug.RoleDecode),
		},
		"desk": {member("s1", ""), member("s2", "")},
	}}
	g.members.Store(set)
	g.streamVersions.setMembers(set.byService)
	g.scheduler.syncMembers(now.Now(), set.byService)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: g, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return &testGateway{g: g, workers: w, url: "http://" + l.Addr().String()}
}

// setMemory sets the memory for bodies and the memory for buffered responses.
func (f *testGateway) setMemory(bytes int64) {
	f.g.c.MaxBodyBytes, f.g.c.MaxBufferBytes = bytes, bytes
	f.g.bodies = newBodyMemory(bytes, prometheus.NewRegistry())
}

// clientResponse is what a client received.
type clientResponse struct {
	status   int
	header   http.Header
	body     string
	err      error
	duration time.Duration
}

func (f *testGateway) do(ctx context.Context, method, path string, keys ...string) clientResponse {
	return f.doWith(ctx, method, path, http.Header{"Id": {"r1"}, "Secret": keys})
}

// doWith sends a request with these headers.
func (f *testGateway) doWith(ctx context.Context, method, path string, header http.Header) clientResponse {
	start := time.Now()
	r, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader("body"))
	if err != nil {
		return clientResponse{err: err}
	}
	r.Header = header
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return clientResponse{err: err, duration: time.Since(start)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err, duration: time.Since(start)}
}
