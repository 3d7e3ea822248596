// Package cloud simulates, for tests, the cloud service of the users' platform
// that accepts usage reports and orders for worker counts. It implements the
// service's published protocol, so the names on the wire are the users'. It
// also checks the calls: all reports of a window must be equal, fencing tokens
// must not decrease, each must belong to one holder, and holders must not
// alternate within a minimum time.
package cloud

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is the way in which calls fail.
type Fault string

// Faults that can be injected.
const (
	FaultNone Fault = ""
	// FaultBusy: calls are rejected with status 429.
	FaultBusy Fault = "busy"
	// FaultLost: calls take effect and the connection is closed without a
	// response.
	FaultLost Fault = "lost"
	// FaultSilent: calls have no effect and never get a response.
	FaultSilent Fault = "silent"
)

// Service is the simulated cloud service. It is an http.Handler.
type Service struct {
	mu sync.Mutex
	// handoverDelay is the minimum time between two calls of a holder with a
	// call of another holder in between.
	handoverDelay time.Duration
	fault         Fault
	reports       map[int64]map[string]int64
	// resources are by name: usage, or a service in a zone.
	resources   map[string]*resource
	scale       func(service, zone string, count int)
	scaleOrders int
	violations  []string
}

// resource is what one lease holder at a time acts on.
type resource struct {
	// holders are the lease holders by fencing token; calls are in order of
	// arrival.
	holders map[int64]string
	calls   []holderCall
}

// holderCall is one call of a lease holder.
type holderCall struct {
	holder string
	at     time.Time
}

// usageResource is the name of the resource of all usage reports.
const usageResource = "usage"

// New returns a service that reports a violation if a holder calls within
// handoverDelay of its last call although another holder called in between.
func New(handoverDelay time.Duration) *Service {
	return &Service{handoverDelay: handoverDelay, reports: map[int64]map[string]int64{}, resources: map[string]*resource{}}
}

// SetFault sets the fault for later calls.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Reports returns the request counts by account, for each window.
func (s *Service) Reports() map[int64]map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.reports)
}

// TotalRequests returns the number of requests of an account in all windows.
func (s *Service) TotalRequests(account string) int64 {
	var total int64
	for _, counts := range s.Reports() {
		total += counts[account]
	}
	return total
}

// ReportingHolders returns the number of lease holders that have reported usage.
func (s *Service) ReportingHolders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := map[string]bool{}
	if usage, known := s.resources[usageResource]; known {
		for _, holder := range usage.holders {
			holders[holder] = true
		}
	}
	return len(holders)
}

// OnScale sets the function that is called for each order for a worker count.
func (s *Service) OnScale(scale func(service, zone string, count int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scale = scale
}

// ScaleOrders returns the number of accepted orders for worker counts.
func (s *Service) ScaleOrders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scaleOrders
}

// Violations returns a description of each violation of the rules.
func (s *Service) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

// call is the body of a call: a usage report or an order for a worker count.
type call struct {
	WindowID     *int64           `json:"window_id"`
	Counts       map[string]int64 `json:"counts"`
	Service      string           `json:"service"`
	Zone         string           `json:"zone"`
	DesiredCount int              `json:"desired_count"`
}

// resource returns the name of the resource that a call acts on, or an empty
// string for an invalid call.
func (c call) resource(path string) string {
	switch {
	case path == "/usage" && c.WindowID != nil:
		return usageResource
	case path == "/scale" && c.Service != "" && c.Zone != "":
		return c.Service + "/" + c.Zone
	}
	return ""
}

// ServeHTTP handles a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c call
	err := json.NewDecoder(r.Body).Decode(&c)
	token, tokenErr := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	holder, name := r.Header.Get("Duty-Holder"), c.resource(r.URL.Path)
	if err != nil || tokenErr != nil || holder == "" || name == "" || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	fault, scale := s.fault, s.scale
	switch fault {
	case FaultBusy:
		s.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case FaultSilent:
		s.mu.Unlock()
		<-r.Context().Done()
		return
	}
	s.checkHolder(name, holder, token)
	if name == usageResource {
		s.checkReport(*c.WindowID, c.Counts)
	} else {
		s.scaleOrders++
	}
	s.mu.Unlock()
	if name != usageResource && scale != nil {
		scale(c.Service, c.Zone, c.DesiredCount)
	}
	if fault == FaultLost {
		panic(http.ErrAbortHandler)
	}
}

// checkReport stores a report and records a violation if it differs from an
// earlier report of the same window. The lock must be held.
func (s *Service) checkReport(window int64, counts map[string]int64) {
	if before, known := s.reports[window]; known && !maps.Equal(before, counts) {
		s.violations = append(s.violations, fmt.Sprintf("window %d: %v, then %v", window, before, counts))
	}
	s.reports[window] = counts
}

// checkHolder records the call of a holder with its fencing token, and any
// violations of the rules. The lock must be held.
func (s *Service) checkHolder(name, holder string, token int64) {
	res, known := s.resources[name]
	if !known {
		res = &resource{holders: map[int64]string{}}
		s.resources[name] = res
	}
	if before, known := res.holders[token]; known && before != holder {
		s.violations = append(s.violations, fmt.Sprintf("%s: token %d used by %s and %s", name, token, before, holder))
	}
	for higher := range res.holders {
		if higher > token {
			s.violations = append(s.violations, fmt.Sprintf("%s: token %d after %d", name, token, higher))
		}
	}
	res.holders[token] = holder
	now, otherBetween := time.Now(), false
	for i := len(res.calls) - 1; i >= 0 && now.Sub(res.calls[i].at) < s.handoverDelay; i-- {
		if res.calls[i].holder != holder {
			otherBetween = true
		} else if otherBetween {
			s.violations = append(s.violations, fmt.Sprintf("%s: %s called again within %v after another holder", name, holder, s.handoverDelay))
			break
		}
	}
	res.calls = append(res.calls, holderCall{holder: holder, at: now})
}
