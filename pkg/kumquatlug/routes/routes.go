// Package routes holds the operator's config as gateways apply it: the route of a request,
// the service that handles it, and its limits.
//
// The config changes while requests arrive at every gateway. Each request is handled by one
// complete version, and an older version that arrives late, from a stale read or a second
// connection, never replaces a newer one. Otherwise a gateway could return to a route that was
// changed, and send requests to a service that must no longer get them.
package routes

import (
	"maps"
	"sort"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/accounts"
)

// Table is an immutable version of the config. It is safe for concurrent use.
type Table struct {
	version  int64
	byHost   map[string][]kumquatlug.Route
	services map[string]kumquatlug.Service
	// used are the names of the services and of those that routes name.
	used   map[string]bool
	limits kumquatlug.Limits
	// accounts is nil if requests carry no keys.
	accounts *accounts.Index
}

// NewTable returns the table of a config.
func NewTable(c kumquatlug.OperatorConfig) *Table {
	t := &Table{version: c.Version, byHost: map[string][]kumquatlug.Route{}, services: map[string]kumquatlug.Service{}, used: map[string]bool{}, limits: c.Limits}
	if c.KeysRequired {
		t.accounts = accounts.NewIndex(c.Accounts)
	}
	for _, r := range c.Routes {
		t.byHost[r.Host()] = append(t.byHost[r.Host()], r)
		for _, service := range r.Services() {
			t.used[service] = true
		}
	}
	for _, list := range t.byHost {
		// Sort by descending length, so that the first match is the longest prefix.
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix()) > len(list[j].Prefix()) })
	}
	for _, s := range c.Services {
		t.services[s.Name()], t.used[s.Name()] = s, true
	}
	return t
}

// Version returns the version of the config.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits of client requests.
func (t *Table) Limits() kumquatlug.Limits { return t.limits }

// Accounts returns the accounts by key, nil if requests carry no keys.
func (t *Table) Accounts() *accounts.Index { return t.accounts }

// Service returns a service by its name.
func (t *Table) Service(name string) (kumquatlug.Service, bool) {
	s, known := t.services[name]
	return s, known
}

// Services returns the names of all services, sorted.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// AddServices adds the names of the services that are configured or get requests of a route, and reports whether one
// is new.
func (t *Table) AddServices(names map[string]bool) bool {
	before := len(names)
	maps.Copy(names, t.used)
	return len(names) > before
}

// Match returns the route for a host and path, the one with the longest prefix of the path.
func (t *Table) Match(host, path string) (kumquatlug.Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return kumquatlug.Route{}, false
}

// Newer reports whether t replaces the table in use, which is nil at first.
func (t *Table) Newer(current *Table) bool {
	return current == nil || t.version > current.version
}
