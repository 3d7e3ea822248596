package peerrequest

import (
	"context"
	"encoding/hex"
	"net/http"
	"strconv"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Client hands requests off to peer gateways over pooled connections.
type Client struct{ pool *exchange.Pool }

var _ kumquatlug.PeerClient = (*Client)(nil)

// NewClient returns a client with this pool.
func NewClient(pool *exchange.Pool) *Client { return &Client{pool: pool} }

// HandOff implements [kumquatlug.PeerClient].
func (c *Client) HandOff(ctx context.Context, h kumquatlug.HandoffRequest) (kumquatlug.HandoffResponse, error) {
	header := h.Header.Clone()
	RemoveHeaders(header)
	header.Set(headerFrom, h.From)
	header.Set(headerKey, strconv.FormatUint(h.Key, 10))
	header.Set(headerElapsed, strconv.FormatInt(int64(h.Elapsed), 10))
	header.Set(headerProof, hex.EncodeToString(h.Proof))
	response, err := c.send(ctx, h, header) //nolint:bodyclose // The caller closes the body of the response.
	if err != nil {
		return kumquatlug.HandoffResponse{}, err
	}
	return decodeResponse(response), nil
}

func (c *Client) send(ctx context.Context, h kumquatlug.HandoffRequest, header http.Header) (*http.Response, error) {
	return c.pool.Do(ctx, exchange.Request{
		Address: h.Address, Method: h.Request.Method(), Target: h.Request.Target(), Host: h.Request.Host(), Header: header, Body: h.Request.Body(),
		RequireFraming:  true,
		MatchesResponse: func(response *http.Response) bool { return response.Header.Get(headerKey) == header.Get(headerKey) },
	})
}

// connectionHeaders concern the connection between the gateways and are not forwarded.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Trailer", "Transfer-Encoding", "Content-Length", headerKey, headerRan, headerReason, headerVersion}

func decodeResponse(response *http.Response) kumquatlug.HandoffResponse {
	h := response.Header
	ran, reason, version := kumquatlug.Execution(h.Get(headerRan)), h.Get(headerReason), h.Get(headerVersion)
	refused := ran != ""
	if ran != kumquatlug.NotExecuted {
		ran = kumquatlug.ExecutionUnknown
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	return kumquatlug.NewHandoffResponse(kumquatlug.HandoffResponseConfig{
		Response: kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
			Status: response.StatusCode, Header: h, Length: response.ContentLength, Framing: exchange.FramingOf(response), Body: response.Body,
		}),
		Refused: refused, Ran: ran, Reason: reason, Version: version,
		GaveUp: func() bool { return response.Trailer.Get(headerRan) != "" },
	})
}
