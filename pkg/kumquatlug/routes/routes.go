// Package routes holds the operator's config as fronts apply it: which route a
// request takes, which service runs it, under which limits.
//
// It answers a config that changes while requests arrive at every front: each
// request is decided by one whole version, and an older version that arrives
// late, from a stale read or a second connection, never replaces a newer one.
// Without that a front would go back to a route that was moved away, and a
// request would run at a service that no longer may have it.
package routes

import (
	"sort"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/accounts"
)

// Table is one version of the config. It is not changed after it was made and
// may be read by many goroutines.
type Table struct {
	version  int64
	byHost   map[string][]kumquatlug.Route
	services map[string]kumquatlug.Service
	limits   kumquatlug.Limits
	// accounts is nil where requests carry no keys.
	accounts *accounts.Book
}

// NewTable returns the table of one config.
func NewTable(c kumquatlug.OperatorConfig) *Table {
	t := &Table{version: c.Version, byHost: map[string][]kumquatlug.Route{}, services: map[string]kumquatlug.Service{}, limits: c.Limits}
	if c.Keyed {
		t.accounts = accounts.NewBook(c.Accounts)
	}
	for _, r := range c.Routes {
		t.byHost[r.Host()] = append(t.byHost[r.Host()], r)
	}
	for _, list := range t.byHost {
		// The longest prefix comes first, so that the first match is the route.
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix()) > len(list[j].Prefix()) })
	}
	for _, s := range c.Services {
		t.services[s.Name()] = s
	}
	return t
}

// Version returns the config's version.
func (t *Table) Version() int64 { return t.version }

// Limits returns what clients may send.
func (t *Table) Limits() kumquatlug.Limits { return t.limits }

// Accounts returns the accounts whose keys requests carry, nil where they carry none.
func (t *Table) Accounts() *accounts.Book { return t.accounts }

// Service returns a service by its name.
func (t *Table) Service(name string) (kumquatlug.Service, bool) {
	s, known := t.services[name]
	return s, known
}

// Services returns the names of all services, in order.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Match returns the route for a host and path: the one with the longest prefix
// that begins the path.
func (t *Table) Match(host, path string) (kumquatlug.Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return kumquatlug.Route{}, false
}

// Newer reports whether t is to replace the table in force, nil for none.
func (t *Table) Newer(current *Table) bool {
	return current == nil || t.version > current.version
}
