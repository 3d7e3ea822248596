// Package cloud stands in for the service of the users' platform that takes usage
// reports and orders of workers in tests. It speaks the service's published protocol, so
// its wire names are the users', and judges what it gets: one report a window, and
// holders whose fencing tokens rise.
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

// Fault is how the service treats calls.
type Fault string

// The faults.
const (
	FaultNone Fault = ""
	// FaultBusy: calls are refused.
	FaultBusy Fault = "busy"
	// FaultLost: calls are taken and not answered.
	FaultLost Fault = "lost"
	// FaultSilent: calls are not taken and never answered.
	FaultSilent Fault = "silent"
)

// Service is the stand-in. Serve it as an http.Handler.
type Service struct {
	mu            sync.Mutex
	handoverDelay time.Duration
	fault         Fault
	reports       map[int64]map[string]int64
	// resources are what holders take turns at: usage, or a service in a zone.
	resources   map[string]*resource
	scale       func(service, zone string, count int)
	scaleOrders int
	violations  []string
}

// resource is what one holder at a time acts on.
type resource struct {
	// holders are the holders by token, acts their calls in order.
	holders map[int64]string
	calls   []holderCall
}

// holderCall is one call of a holder.
type holderCall struct {
	holder string
	at     time.Time
}

// usageResource names the one subject of usage reports.
const usageResource = "usage"

// New returns a service that takes no turns of holders back and forth within turn.
func New(handoverDelay time.Duration) *Service {
	return &Service{handoverDelay: handoverDelay, reports: map[int64]map[string]int64{}, resources: map[string]*resource{}}
}

// SetFault changes how calls are treated from now on.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Reports returns the counts by window.
func (s *Service) Reports() map[int64]map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.reports)
}

// Total returns the requests of an account over all windows.
func (s *Service) Total(account string) int64 {
	var total int64
	for _, counts := range s.Reports() {
		total += counts[account]
	}
	return total
}

// Holders returns how many holders have reported usage.
func (s *Service) Holders() int {
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

// OnScale has orders of workers carried out by scale.
func (s *Service) OnScale(scale func(service, zone string, count int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scale = scale
}

// Scaled returns how many orders of workers were taken.
func (s *Service) Scaled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scaleOrders
}

// Broken tells which rules were broken.
func (s *Service) Broken() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

// call is what a holder sends, of either kind.
type call struct {
	WindowID     *int64           `json:"window_id"`
	Counts       map[string]int64 `json:"counts"`
	Service      string           `json:"service"`
	Zone         string           `json:"zone"`
	DesiredCount int              `json:"desired_count"`
}

// resource returns what a call is about, empty for one that is none.
func (c call) resource(path string) string {
	switch {
	case path == "/usage" && c.WindowID != nil:
		return usageResource
	case path == "/scale" && c.Service != "" && c.Zone != "":
		return c.Service + "/" + c.Zone
	}
	return ""
}

// ServeHTTP takes a call.
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

// checkReport notes a report and whether another one differs; the lock must be held.
func (s *Service) checkReport(window int64, counts map[string]int64) {
	if before, known := s.reports[window]; known && !maps.Equal(before, counts) {
		s.violations = append(s.violations, fmt.Sprintf("window %d: %v, then %v", window, before, counts))
	}
	s.reports[window] = counts
}

// checkHolder notes who acts under which token and what is wrong about it; the lock must
// be held.
func (s *Service) checkHolder(name, holder string, token int64) {
	res, known := s.resources[name]
	if !known {
		res = &resource{holders: map[int64]string{}}
		s.resources[name] = res
	}
	if before, known := res.holders[token]; known && before != holder {
		s.violations = append(s.violations, fmt.Sprintf("%s: token %d of %s and %s", name, token, before, holder))
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
			s.violations = append(s.violations, fmt.Sprintf("%s: %s took turns within %v", name, holder, s.handoverDelay))
			break
		}
	}
	res.calls = append(res.calls, holderCall{holder: holder, at: now})
}
