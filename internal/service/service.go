// Package service calls a plain HTTP service on the same VM as the agent.
package service

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Timeouts and limits of the connections to the target on the same VM.
const (
	dialTimeout   = kumquatlug.Second
	healthTimeout = 2 * kumquatlug.Second
	maxIdleConns  = 256
)

// Config holds the address of the service.
type Config struct {
	// URL is the base URL, such as "http://127.0.0.1:8080".
	URL string
	// HealthPath responds with 2xx while the service is able to work. Default
	// "/health".
	HealthPath string
}

// Service implements kumquatlug.Target over HTTP. It is safe for concurrent use.
type Service struct {
	baseURL    string
	healthPath string
	client     *http.Client
	// onceClient opens a connection for each call.
	onceClient *http.Client
}

// New returns a client of the service at c.URL.
func New(c Config) *Service {
	if c.HealthPath == "" {
		c.HealthPath = "/health"
	}
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	transport := &http.Transport{
		DialContext: exchange.DialContext(dialer), MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: exchange.MaxHeadBytes,
	}
	onceTransport := transport.Clone()
	onceTransport.DisableKeepAlives = true
	return &Service{
		baseURL: strings.TrimRight(c.URL, "/"), healthPath: c.HealthPath,
		client:     &http.Client{Transport: transport, CheckRedirect: returnRedirect},
		onceClient: &http.Client{Transport: onceTransport, CheckRedirect: returnRedirect},
	}
}

// returnRedirect returns a redirect to the caller instead of following it, since
// following it would run a call that the caller did not make.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do sends call to the service. Only a failure to connect proves that the call did
// not run; every other error leaves that unknown.
func (s *Service) Do(ctx context.Context, call kumquatlug.Call) (kumquatlug.TargetResponse, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method(), s.baseURL+call.Path(), call.Body())
	if err != nil {
		return kumquatlug.TargetResponse{}, targetFailure(s.baseURL, "bad_request", kumquatlug.NotExecuted, err)
	}
	request.Header = call.Header().Clone()
	client := s.client
	if disableAutoRetry(request.Header) {
		// A service may close an idle connection while the call is sent, after which it is
		// unknown whether the call ran.
		client = s.onceClient
	}
	response, err := client.Do(request)
	if err != nil {
		return kumquatlug.TargetResponse{}, targetFailure(s.baseURL, "target_failed", executionAfterError(err), err)
	}
	if err := exchange.CheckHead(response); err != nil {
		_ = response.Body.Close()
		return kumquatlug.TargetResponse{}, targetFailure(s.baseURL, "target_failed", kumquatlug.ExecutionUnknown, err)
	}
	return kumquatlug.NewTargetResponse(response.StatusCode, response.Header, response.Body).WithFraming(exchange.FramingOf(response)), nil
}

// lowercaseKeyHeader is Idempotency-Key in a spelling that HTTP allows but
// net/http doesn't recognize. net/http resends a request that it considers
// replayable when an idle connection breaks, and the canonical spelling of this
// header makes a request replayable. A POST would then run twice, undetected by the
// run-once checks. The methods that are replayable without the header have no
// effect at the target.
const lowercaseKeyHeader = "idempotency-key"

// disableAutoRetry changes the spelling of the key in header, and reports whether there is
// one: the call must not be repeated then.
func disableAutoRetry(header http.Header) bool {
	const canonical = "Idempotency-Key"
	values, ok := header[canonical]
	if ok {
		delete(header, canonical)
		header[lowercaseKeyHeader] = values
	}
	return ok
}

func executionAfterError(err error) kumquatlug.Execution {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return kumquatlug.NotExecuted
	}
	return kumquatlug.ExecutionUnknown
}

func targetFailure(peer, reason string, execution kumquatlug.Execution, cause error) error {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "call target", Peer: peer, Reason: reason, Execution: execution, Status: http.StatusBadGateway, Cause: cause,
	})
}

// Healthy returns nil if the service responds successfully at its health path.
func (s *Service) Healthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout.Duration())
	defer cancel()
	response, err := s.Get(ctx, s.healthPath)
	if err != nil {
		return err
	}
	defer response.Body().Close()
	if response.Status() >= http.StatusMultipleChoices {
		return errors.Newf("health check of %s: status %d", s.baseURL, response.Status())
	}
	return nil
}

// Get sends a GET request for path to the service.
func (s *Service) Get(ctx context.Context, path string) (kumquatlug.TargetResponse, error) {
	return s.Do(ctx, kumquatlug.NewCall(http.MethodGet, path, http.Header{}, nil))
}

// Close closes idle connections.
func (s *Service) Close() { s.client.CloseIdleConnections() }
