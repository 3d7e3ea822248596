// Package engine calls a language-model engine: its OpenAI-compatible API for work,
// and a small JSON API for orders, load and cache events.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/service"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxControlBytes bounds a response of the control API; a load report is a few
// hundred bytes.
const maxControlBytes = 1 << 20

// Engine implements kumquatlug.Target and the control API of engines.
type Engine struct {
	*service.Service
}

// New returns a client of the engine at c.URL.
func New(c service.Config) *Engine {
	return &Engine{Service: service.New(c)}
}

// Load is the load that an engine reports, with a delay.
type Load struct {
	Running                int64   `json:"running"`
	Waiting                int64   `json:"waiting"`
	KVUsedTokens           int64   `json:"kv_used_tokens"`
	KVTotalTokens          int64   `json:"kv_total_tokens"`
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	DecodeTokensPerSecond  float64 `json:"decode_tokens_per_second"`
	// AgeMs is the age of the values, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// ReadLoad returns the load that the engine reports.
func (e *Engine) ReadLoad(ctx context.Context) (Load, error) {
	var load Load
	err := e.getJSON(ctx, "read load", "/load", &load)
	return load, err
}

// CacheEvent reports that the engine cached or evicted a prompt prefix.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   string `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// CacheEvents returns the events after a sequence number. If sequence numbers are
// missing, the known content of the cache is unreliable.
func (e *Engine) CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error) {
	var response struct {
		Events []CacheEvent `json:"events"`
	}
	err := e.getJSON(ctx, "read cache events", "/cache/events?after="+strconv.FormatInt(after, 10), &response)
	return response.Events, err
}

// State says whether an engine has completed the last order it accepted.
type State string

// States of an engine.
const (
	StateSettled  State = "settled"
	StateChanging State = "changing"
	StateUnknown  State = "unknown"
)

// Condition is an engine's state, its role, its last order and the highest fencing
// token that it has received.
type Condition struct {
	State State           `json:"state"`
	Role  kumquatlug.Role `json:"role"`
	Order string          `json:"order_id"`
	Fence int64           `json:"fence"`
}

// ReadState returns the engine's state, with its progress on the last order.
func (e *Engine) ReadState(ctx context.Context) (Condition, error) {
	var c Condition
	err := e.getJSON(ctx, "read state", "/state", &c)
	return c, err
}

// Order is one order to an engine.
type Order struct {
	ID       string `json:"id"`
	Fence    int64  `json:"fence,omitempty"`
	Verb     string `json:"verb"`
	Argument string `json:"argument"`
}

// SendOrder sends o to the engine. An error marked kumquatlug.ErrConflict means that the
// engine refused it; after any other error the effect is unknown.
func (e *Engine) SendOrder(ctx context.Context, o Order) (Condition, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return Condition{}, errors.Wrap(err, "encode order")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, err := e.Do(ctx, kumquatlug.NewCall(http.MethodPost, "/orders", header, bytes.NewReader(body)))
	if err != nil {
		return Condition{}, errors.Mark(err, kumquatlug.ErrLost)
	}
	var c Condition
	return c, decodeResponse("send order", response, &c)
}

// ImportKV has the engine fetch the KV cache of handle from the engine that exported
// it.
func (e *Engine) ImportKV(ctx context.Context, handle string) error {
	body, err := json.Marshal(struct {
		Handle string `json:"handle"`
	}{handle})
	if err != nil {
		return errors.Wrap(err, "encode handle")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, err := e.Do(ctx, kumquatlug.NewCall(http.MethodPost, "/kv/import", header, bytes.NewReader(body)))
	if err != nil {
		return errors.Wrap(err, "import KV cache")
	}
	var ignored struct{}
	return decodeResponse("import KV cache", response, &ignored)
}

func (e *Engine) getJSON(ctx context.Context, step, path string, dst any) error {
	response, err := e.Get(ctx, path)
	if err != nil {
		return errors.Wrap(err, step)
	}
	return decodeResponse(step, response, dst)
}

func decodeResponse(step string, response kumquatlug.TargetResponse, dst any) error {
	defer response.Body().Close()
	body, err := io.ReadAll(io.LimitReader(response.Body(), maxControlBytes))
	if err != nil {
		return errors.Mark(errors.Wrap(err, step), kumquatlug.ErrLost)
	}
	if response.Status() == http.StatusConflict {
		return errors.Mark(errors.Newf("%s: %s", step, body), kumquatlug.ErrConflict)
	}
	if response.Status() >= http.StatusMultipleChoices {
		return errors.Newf("%s: status %d: %s", step, response.Status(), body)
	}
	return errors.Wrap(json.Unmarshal(body, dst), step)
}
