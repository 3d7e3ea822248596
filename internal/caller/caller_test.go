package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const testTimeout = 30 * time.Second

// fakeBackend is a backend whose results are given by functions.
type fakeBackend struct {
	generate func(ctx context.Context, g Generation, sink Sink) error
	call     func(c ServiceCall) (kumquatlug.TargetResponse, error)
}

func (b *fakeBackend) Authenticate(hash string) (kumquatlug.Caller, bool) {
	if hash != kumquatlug.HashKey("good") {
		return kumquatlug.Caller{}, false
	}
	account, err := kumquatlug.NewCaller(kumquatlug.CallerConfig{Name: "portal", KeyHash: hash})
	return account, err == nil
}

func (b *fakeBackend) Kinds() []kumquatlug.Kind {
	return []kumquatlug.Kind{kumquatlug.NewKind(kumquatlug.ProtocolEngine, "m"), kumquatlug.NewKind(kumquatlug.ProtocolService, "s")}
}

func (b *fakeBackend) Generate(ctx context.Context, g Generation, sink Sink) error {
	return b.generate(ctx, g, sink)
}

func (b *fakeBackend) Call(_ context.Context, c ServiceCall) (kumquatlug.TargetResponse, error) {
	return b.call(c)
}

func newServer(t *testing.T, backend *fakeBackend, c Config) *httptest.Server {
	t.Helper()
	c.Backend, c.Logger = backend, zap.NewNop()
	server := httptest.NewUnstartedServer(New(c))
	peer.ServerTimeouts(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func send(t *testing.T, server *httptest.Server, method, path, body string, header http.Header) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer good")
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response, string(text)
}

func textChunk(text string) engine.Chunk {
	return engine.Chunk{Object: "text_completion", Choices: []engine.Choice{{Text: &text}}}
}

func TestRefusalCarriesStatusHeadersAndErrorBody(t *testing.T) {
	backend := &fakeBackend{generate: func(context.Context, Generation, Sink) error {
		return kumquatlug.NewFailure(kumquatlug.FailureConfig{
			Step: "wait", Peer: "engine-7", Reason: "queue_full", Execution: kumquatlug.NotExecuted, Status: 503, RetryAfter: 1500,
		})
	}}
	response, text := send(t, newServer(t, backend, Config{}), http.MethodPost, "/v1/completions", `{"model":"m","prompt":"p"}`, nil)
	if response.StatusCode != 503 || response.Header.Get("Retry-After") != "2" || response.Header.Get("Kumquatlug-Ran") != "not-run" {
		t.Errorf("status %d, headers %v", response.StatusCode, response.Header)
	}
	var body errorBody
	if err := json.Unmarshal([]byte(text), &body); err != nil || body.Error.Code != "queue_full" || body.Error.RetryAfter != 1500 {
		t.Errorf("body %s", text)
	}
	if strings.Contains(text, "engine-7") {
		t.Error("error body names an internal process")
	}
}

// A stream fails after its status has been sent. A caller that received the
// final [DONE] event would take the partial response for a complete one.
func TestMidStreamFailureOmitsDoneEvent(t *testing.T) {
	backend := &fakeBackend{generate: func(_ context.Context, _ Generation, sink Sink) error {
		_ = sink.Chunk(textChunk("half"))
		return kumquatlug.NewFailure(kumquatlug.FailureConfig{Step: "send", Reason: "attempts"})
	}}
	_, text := send(t, newServer(t, backend, Config{}), http.MethodPost, "/v1/completions", `{"model":"m","prompt":"p","stream":true}`, nil)
	if !strings.Contains(text, "half") || !strings.Contains(text, `"code":"attempts"`) || strings.Contains(text, "[DONE]") {
		t.Errorf("stream %q", text)
	}
}

// A service's response breaks off after its status was relayed. If the caller's
// connection ended cleanly, the caller would take the partial response for a
// complete one.
func TestTruncatedServiceResponseAbortsConnection(t *testing.T) {
	backend := &fakeBackend{call: func(ServiceCall) (kumquatlug.TargetResponse, error) {
		body := io.MultiReader(strings.NewReader("part"), errorReader{})
		return kumquatlug.NewTargetResponse(200, http.Header{}, io.NopCloser(body)), nil
	}}
	server := newServer(t, backend, Config{})
	request, err := http.NewRequest(http.MethodGet, server.URL+"/services/s/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer good")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err == nil {
		t.Error("truncated response ended without an error")
	}
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestServiceCallKeepsPathAndGetsIdempotencyKey(t *testing.T) {
	var got ServiceCall
	backend := &fakeBackend{call: func(c ServiceCall) (kumquatlug.TargetResponse, error) {
		got = c
		return kumquatlug.NewTargetResponse(201, http.Header{"X-Own": {"1"}}, io.NopCloser(bytes.NewReader(nil))), nil
	}}
	server := newServer(t, backend, Config{})
	response, _ := send(t, server, http.MethodPut, "/services/s/a%2Fb/c?d=e", "body", http.Header{"Prefer": {"wait=3"}})
	if got.Path() != "/a%2Fb/c?d=e" || got.Method() != http.MethodPut || got.Timeout() != 3000 || got.HasCallerKey() {
		t.Errorf("path %q, method %s, timeout %d", got.Path(), got.Method(), got.Timeout())
	}
	if got.Header().Get("Authorization") != "" {
		t.Error("Authorization header was forwarded to the service")
	}
	if response.StatusCode != 201 || response.Header.Get("X-Own") != "1" || response.Header.Get("Idempotency-Key") != got.Key() {
		t.Errorf("status %d, headers %v", response.StatusCode, response.Header)
	}
}

// A caller opens a stream and stops reading. Without a write timeout its engine
// would block on full buffers for as long as the caller stays connected.
func TestStreamToStalledCallerIsAborted(t *testing.T) {
	ended := make(chan error, 1)
	backend := &fakeBackend{generate: func(_ context.Context, _ Generation, sink Sink) error {
		var err error
		for err == nil {
			err = sink.Chunk(textChunk(strings.Repeat("x", 64<<10)))
		}
		ended <- err
		return err
	}}
	server := newServer(t, backend, Config{WriteTimeout: 200})
	conn := dial(t, server)
	body := `{"model":"m","prompt":"p","stream":true}`
	write(t, conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer good\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
	select {
	case err := <-ended:
		if err == nil {
			t.Error("stalled write returned no error")
		}
	case <-time.After(testTimeout):
		t.Fatal("stream to a stalled caller was not aborted")
	}
}

// A caller sends its body very slowly. It must get an error in time, and no
// other request may wait for it.
func TestSlowBodyTimesOutWithoutBlockingOthers(t *testing.T) {
	backend := &fakeBackend{generate: func(_ context.Context, _ Generation, sink Sink) error { return sink.Chunk(textChunk("ok")) }}
	server := newServer(t, backend, Config{BodyTimeout: 200})
	slow := dial(t, server)
	write(t, slow, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer good\r\nContent-Length: 100\r\n\r\n{")
	if response, _ := send(t, server, http.MethodPost, "/v1/completions", `{"model":"m","prompt":"p"}`, nil); response.StatusCode != 200 {
		t.Errorf("other caller: status %d, want 200", response.StatusCode)
	}
	response, err := http.ReadResponse(bufio.NewReader(slow), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusRequestTimeout || response.Header.Get("Kumquatlug-Ran") != "not-run" {
		t.Errorf("slow caller: status %d, headers %v", response.StatusCode, response.Header)
	}
}

// Many callers send large bodies at once. Without a limit on their total size
// they exhaust the memory of the gateway, and all responses in flight are lost.
func TestTotalBodyBytesAreBounded(t *testing.T) {
	started, release := make(chan bool), make(chan bool)
	backend := &fakeBackend{generate: func(_ context.Context, _ Generation, sink Sink) error {
		started <- true
		<-release
		return sink.Chunk(textChunk("ok"))
	}}
	server := newServer(t, backend, Config{MaxTotalBodyBytes: 3000})
	body := `{"model":"m","prompt":"` + strings.Repeat("x", 2000) + `"}`
	first := make(chan int, 1)
	go func() {
		response, _ := send(t, server, http.MethodPost, "/v1/completions", body, nil)
		first <- response.StatusCode
	}()
	<-started
	response, text := send(t, server, http.MethodPost, "/v1/completions", body, nil)
	if response.StatusCode != 503 || !strings.Contains(text, "bodies_full") || response.Header.Get("Retry-After") == "" {
		t.Errorf("second request: status %d, body %s", response.StatusCode, text)
	}
	release <- true
	if got := <-first; got != 200 {
		t.Errorf("first request: status %d, want 200", got)
	}
	go func() { <-started; release <- true }()
	if response, _ := send(t, server, http.MethodPost, "/v1/completions", body, nil); response.StatusCode != 200 {
		t.Errorf("request after the first one ended: status %d, want 200", response.StatusCode)
	}
}

// A client opens a connection and sends half a header. Without a timeout a few
// thousand of these occupy every connection that the gateway may have.
func TestSlowHeaderClosesConnection(t *testing.T) {
	server := newServer(t, &fakeBackend{}, Config{})
	conn := dial(t, server)
	write(t, conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	if text, err := io.ReadAll(conn); err != nil {
		t.Fatalf("connection was not closed: %v, read %q", err, text)
	}
}

func dial(t *testing.T, server *httptest.Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

func itoa(n int) string {
	text, _ := json.Marshal(n)
	return string(text)
}

// FuzzParse checks parsing of arbitrary request bodies.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"p"}`, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_tokens":3}`,
		`{"model":1}`, `[]`, `{"model":"m","prompt":"p","n":2}`, `{"model":"m","messages":[{"content":{}}]}`, `{"priority":9,"model":"m","prompt":""}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		g, _, failure := parseRequest("/v1/completions", body)
		if failure != nil {
			if failure.Execution() != kumquatlug.NotExecuted || failure.Status() >= 500 {
				t.Fatalf("refusal: status %d, ran %s, want a status below 500 and not-run", failure.Status(), failure.Execution())
			}
			return
		}
		text, err := g.Body(3, 1)
		var sent struct {
			Stream   bool  `json:"stream"`
			Resume   int64 `json:"resume_tokens"`
			Priority int64 `json:"priority"`
		}
		if err != nil || json.Unmarshal(text, &sent) != nil || !sent.Stream || sent.Resume != 3 || sent.Priority != 1 {
			t.Fatalf("engine request body %s, error %v", text, err)
		}
	})
}
