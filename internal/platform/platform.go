// Package platform speaks to the platform's table, object store and VM list
// over JSON and HTTP.
//
// A write whose answer does not arrive may have taken effect. The client never
// hides that: such an error is marked kumquatlug.ErrLost, and only a refusal
// that the platform itself spoke, or a connection that was never made, is
// marked kumquatlug.ErrUnavailable.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxAnswer bounds what is read of one answer: a scan of a thousand rows of
// label text or one stored answer of a service fits many times over.
const maxAnswer = 64 << 20

// DefaultTimeout is how long one call may take. The table answers in a few
// milliseconds; two seconds is far above that and still lets a caller with a
// usual deadline hear a refusal in time.
const DefaultTimeout = 2 * kumquatlug.Second

// Config says where the platform is.
type Config struct {
	// URL is the base address, as in "http://10.0.0.1:7000".
	URL string
	// Token is sent as a bearer token; empty sends none.
	Token string
	// Timeout bounds one call; zero means DefaultTimeout.
	Timeout kumquatlug.Millis
	// Transport is the HTTP transport; nil means one of its own.
	Transport http.RoundTripper
}

// Client implements kumquatlug.Table, kumquatlug.Objects and kumquatlug.VMs.
// It is safe for concurrent use.
type Client struct {
	base    string
	token   string
	timeout time.Duration
	client  *http.Client
}

// New returns a client for the platform that c names.
func New(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Transport == nil {
		c.Transport = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	}
	return &Client{
		base: strings.TrimRight(c.URL, "/"), token: c.Token, timeout: c.Timeout.Duration(),
		client: &http.Client{Transport: c.Transport},
	}
}

// row is the wire form of a row.
type row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
}

func (r row) row() kumquatlug.Row {
	return kumquatlug.NewRow(r.Key, r.Value, r.Version)
}

// Get returns the row at key.
func (c *Client) Get(ctx context.Context, key string) (kumquatlug.Row, error) {
	var r row
	err := c.read(ctx, "get row", "/table/row?key="+url.QueryEscape(key), &r)
	return r.row(), err
}

// Scan returns rows in key order.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]kumquatlug.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var answer struct {
		Rows []row `json:"rows"`
	}
	if err := c.read(ctx, "scan rows", "/table/scan?"+query.Encode(), &answer); err != nil {
		return nil, err
	}
	rows := make([]kumquatlug.Row, len(answer.Rows))
	for i, r := range answer.Rows {
		rows[i] = r.row()
	}
	return rows, nil
}

// Commit applies tx or fails with a marked error.
func (c *Client) Commit(ctx context.Context, tx kumquatlug.Tx) error {
	body, err := json.Marshal(wireTx(tx))
	if err != nil {
		return errors.Wrap(err, "encode transaction")
	}
	_, err = c.do(ctx, "commit", http.MethodPost, "/table/commit", body)
	return err
}

type condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

type write struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type transaction struct {
	ID         string      `json:"id"`
	Conditions []condition `json:"conditions"`
	Writes     []write     `json:"writes"`
}

func wireTx(tx kumquatlug.Tx) transaction {
	t := transaction{ID: tx.ID()}
	for _, c := range tx.Conditions() {
		t.Conditions = append(t.Conditions, condition{c.Key(), c.Version()})
	}
	for _, w := range tx.Writes() {
		t.Writes = append(t.Writes, write{w.Key(), w.Value(), w.Deleted()})
	}
	return t
}

// Put stores an object.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	_, err := c.do(ctx, "put object", http.MethodPut, "/objects/"+escapePath(name), body)
	return err
}

// Fetch returns an object.
func (c *Client) Fetch(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, "fetch object", http.MethodGet, "/objects/"+escapePath(name), nil)
}

func escapePath(name string) string {
	parts := strings.Split(name, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}

// List returns the platform's VMs.
func (c *Client) List(ctx context.Context) ([]kumquatlug.VM, error) {
	var answer struct {
		VMs []struct {
			Name    string `json:"name"`
			Role    string `json:"role"`
			Address string `json:"address"`
			Zone    string `json:"zone"`
			State   string `json:"state"`
		} `json:"vms"`
	}
	if err := c.read(ctx, "list VMs", "/vms", &answer); err != nil {
		return nil, err
	}
	vms := make([]kumquatlug.VM, len(answer.VMs))
	for i, v := range answer.VMs {
		vms[i] = kumquatlug.NewVM(kumquatlug.VMConfig{
			Name: v.Name, Role: kumquatlug.VMRole(v.Role), Address: v.Address,
			Zone: v.Zone, State: kumquatlug.VMState(v.State),
		})
	}
	return vms, nil
}

func (c *Client) read(ctx context.Context, step, path string, into any) error {
	body, err := c.do(ctx, step, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, into), step)
}

func (c *Client) do(ctx context.Context, step, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, step)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	answer, err := c.client.Do(request)
	if err != nil {
		return nil, c.failed(step, err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return nil, c.mark(step, err, kumquatlug.ErrLost)
	}
	return text, c.judge(step, answer.StatusCode, text)
}

// failed marks an error without an answer: only a connection that was never
// made proves that nothing took effect.
func (c *Client) failed(step string, err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return c.mark(step, err, kumquatlug.ErrUnavailable)
	}
	return c.mark(step, err, kumquatlug.ErrLost)
}

func (c *Client) judge(step string, status int, text []byte) error {
	if status < http.StatusMultipleChoices {
		return nil
	}
	err := errors.Newf("status %d: %.200s", status, text)
	switch status {
	case http.StatusConflict:
		return c.mark(step, err, kumquatlug.ErrConflict)
	case http.StatusNotFound:
		return c.mark(step, err, kumquatlug.ErrNotFound)
	case http.StatusUnauthorized, http.StatusForbidden:
		return c.mark(step, err, kumquatlug.ErrDenied)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return c.mark(step, err, kumquatlug.ErrUnavailable)
	default:
		return c.mark(step, err, kumquatlug.ErrLost)
	}
}

func (c *Client) mark(step string, err, reference error) error {
	return errors.Mark(errors.Wrapf(err, "%s at platform %s", step, c.base), reference)
}
