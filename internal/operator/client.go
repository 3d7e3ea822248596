package operator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1/peerv1connect"
	"github.com/kumquatlug/kumquatlug/internal/settings"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
)

// Timeouts and retries of the client.
const (
	// callTimeout bounds one call; a gateway waits up to two seconds for its peers.
	callTimeout = 10 * time.Second
	// maxSendAttempts is the number of times that a change is sent while its
	// responses are lost. All attempts carry the same id, so that the change takes
	// effect once.
	maxSendAttempts = 3
	// resendDelay is the wait between two attempts.
	resendDelay = 300 * time.Millisecond
)

// ClientConfig holds the gateway to call and the operator's credentials.
type ClientConfig struct {
	// URL is the base URL of a gateway's operator API, such as
	// "http://10.0.0.1:8081".
	URL string
	// Key is the operator's API key.
	Key string
	// Authority holds the CA certificates to trust, as PEM text or the path of a
	// file; empty means the system's.
	Authority string
}

// Client calls the operator API of one gateway.
type Client struct {
	service peerv1connect.OperatorServiceClient
}

// NewClient returns a client; it doesn't connect yet.
func NewClient(c ClientConfig) (*Client, error) {
	transport := &http.Transport{}
	if c.Authority != "" {
		text, err := settings.PEM(c.Authority)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return nil, errors.New("the CA contains no certificate")
		}
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	}
	client := &http.Client{Transport: &bearerTransport{key: c.Key, next: transport}, Timeout: callTimeout}
	return &Client{service: peerv1connect.NewOperatorServiceClient(client, c.URL)}, nil
}

// bearerTransport adds the operator's key to each request.
type bearerTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip sends r with the key.
func (b *bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.key)
	return b.next.RoundTrip(r)
}

// Apply submits a change based on revision base and returns the new revision. The
// error is marked kumquatlug.ErrConflict, ErrDenied, ErrUnavailable or ErrLost.
func (c *Client) Apply(ctx context.Context, base config.Revision, sets ...config.Set) (config.Revision, error) {
	id := ulid.Make().String()
	var lastErr error
	for n := range maxSendAttempts {
		if n > 0 {
			if err := sleep(ctx, resendDelay); err != nil {
				break
			}
		}
		response, err := c.service.Change(ctx, connect.NewRequest(&peerv1.ChangeRequest{
			Id: id, Base: int64(base), Sets: peer.EncodeSets(sets),
		}))
		if err == nil {
			return config.Revision(response.Msg.GetRevision()), nil
		}
		lastErr = markError(err)
		if !errors.Is(lastErr, kumquatlug.ErrLost) {
			break
		}
	}
	return 0, lastErr
}

func sleep(ctx context.Context, delay time.Duration) error {
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// markError marks err with the kumquatlug error of its connect code.
func markError(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		return errors.Mark(err, kumquatlug.ErrConflict)
	case connect.CodePermissionDenied, connect.CodeUnauthenticated, connect.CodeInvalidArgument:
		return errors.Mark(err, kumquatlug.ErrDenied)
	case connect.CodeUnavailable:
		// An Unavailable that the gateway itself returned means that nothing was
		// changed. A broken connection has the same code, but the change may have
		// been applied.
		if connect.IsWireError(err) {
			return errors.Mark(err, kumquatlug.ErrUnavailable)
		}
		return errors.Mark(err, kumquatlug.ErrLost)
	default:
		return errors.Mark(err, kumquatlug.ErrLost)
	}
}

// readError marks the error of a read-only call.
func readError(step string, err error) error {
	err = errors.Wrap(err, step)
	if code := connect.CodeOf(err); code == connect.CodeUnauthenticated || code == connect.CodePermissionDenied {
		return errors.Mark(err, kumquatlug.ErrDenied)
	}
	return err
}

// Get returns the keys with prefix and the revision at which they were read.
func (c *Client) Get(ctx context.Context, prefix string) ([]config.Set, config.Revision, error) {
	response, err := c.service.Get(ctx, connect.NewRequest(&peerv1.GetRequest{Prefix: prefix}))
	if err != nil {
		return nil, 0, readError("get", err)
	}
	return peer.DecodeSets(response.Msg.GetSets()), config.Revision(response.Msg.GetRevision()), nil
}

// Status returns every node with the config revision in force there.
func (c *Client) Status(ctx context.Context) (*peerv1.StatusResponse, error) {
	response, err := c.service.Status(ctx, connect.NewRequest(&peerv1.StatusRequest{}))
	if err != nil {
		return nil, readError("status", err)
	}
	return response.Msg, nil
}

// Explain returns which targets may serve a kind of work and why others may not.
func (c *Client) Explain(ctx context.Context, kind kumquatlug.Kind) (*peerv1.ExplainResponse, error) {
	response, err := c.service.Explain(ctx, connect.NewRequest(&peerv1.ExplainRequest{
		Protocol: string(kind.Protocol()), Kind: kind.Name(),
	}))
	if err != nil {
		return nil, readError("explain", err)
	}
	return response.Msg, nil
}

// Timeline returns the merged events of all processes, only those of one request
// unless requestID is empty.
func (c *Client) Timeline(ctx context.Context, requestID string) (*peerv1.EventsResponse, error) {
	response, err := c.service.Timeline(ctx, connect.NewRequest(&peerv1.TimelineRequest{RequestId: requestID}))
	if err != nil {
		return nil, readError("timeline", err)
	}
	return response.Msg, nil
}
