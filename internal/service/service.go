// Package service speaks to a plain HTTP service beside the agent.
package service

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Figures for the connection to the target on the same VM.
const (
	dialTimeout   = kumquatlug.Second
	healthTimeout = 2 * kumquatlug.Second
	maxIdleConns  = 256
)

// Config says where the service listens.
type Config struct {
	// URL is the base address, as in "http://127.0.0.1:8080".
	URL string
	// HealthPath answers 2xx while the service can work; default "/health".
	HealthPath string
}

// Service implements kumquatlug.Target over HTTP. It is safe for concurrent use.
type Service struct {
	baseURL    string
	healthPath string
	client     *http.Client
}

// New returns the service that c names.
func New(c Config) *Service {
	if c.HealthPath == "" {
		c.HealthPath = "/health"
	}
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout: time.Minute, DisableCompression: true,
	}
	return &Service{
		baseURL: strings.TrimRight(c.URL, "/"), healthPath: c.HealthPath,
		client: &http.Client{Transport: transport, CheckRedirect: returnRedirect},
	}
}

// returnRedirect passes a redirect on to the caller instead of following it,
// since following it would run a call that the caller did not make.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do sends call to the service. Only a connection that was never made proves
// that the call did not run; every other error leaves it unknown.
func (s *Service) Do(ctx context.Context, call kumquatlug.Call) (kumquatlug.Answer, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method(), s.baseURL+call.Path(), call.Body())
	if err != nil {
		return kumquatlug.Answer{}, targetFailure(s.baseURL, "bad_request", kumquatlug.RanNot, err)
	}
	request.Header = call.Header().Clone()
	disableAutoRetry(request.Header)
	response, err := s.client.Do(request) //nolint:bodyclose // the receiver of the answer closes its body
	if err != nil {
		return kumquatlug.Answer{}, targetFailure(s.baseURL, "target_failed", ranAfterError(err), err)
	}
	return kumquatlug.NewAnswer(response.StatusCode, response.Header, response.Body), nil
}

// lowercaseKeyHeader is Idempotency-Key as HTTP allows it but net/http does not look for
// it. net/http by itself sends a request again after an idle connection broke
// when it takes it for repeatable, and for that it trusts this header in its
// usual case. A posting would then run twice below every check of ours. Methods
// that it takes for repeatable without the header change nothing at the target.
const lowercaseKeyHeader = "idempotency-key"

func disableAutoRetry(header http.Header) {
	const canonical = "Idempotency-Key"
	if values, ok := header[canonical]; ok {
		delete(header, canonical)
		header[lowercaseKeyHeader] = values
	}
}

func ranAfterError(err error) kumquatlug.Ran {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return kumquatlug.RanNot
	}
	return kumquatlug.RanUnknown
}

func targetFailure(peer, reason string, ran kumquatlug.Ran, cause error) error {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "call target", Peer: peer, Reason: reason, Ran: ran, Status: http.StatusBadGateway, Cause: cause,
	})
}

// Healthy reports whether the service answers its health path.
func (s *Service) Healthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout.Duration())
	defer cancel()
	response, err := s.Get(ctx, s.healthPath)
	if err != nil {
		return err
	}
	defer response.Body().Close()
	if response.Status() >= http.StatusMultipleChoices {
		return errors.Newf("health of %s: status %d", s.baseURL, response.Status())
	}
	return nil
}

// Get asks the service for path.
func (s *Service) Get(ctx context.Context, path string) (kumquatlug.Answer, error) {
	return s.Do(ctx, kumquatlug.NewCall(http.MethodGet, path, http.Header{}, nil))
}

// Close closes the connections that are not in use.
func (s *Service) Close() { s.client.CloseIdleConnections() }
