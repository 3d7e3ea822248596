package planner

import (
	"fmt"
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const (
	sitePrefill = 8000.0
	siteDecode  = 1500.0
	// siteAway is how long an engine of the site drains and changes.
	siteAway = 8 * kumquatlug.Second
)

// site is a small fluid model of a group: what is served in a second is what
// the scarcer side can serve.
type site struct {
	planner kumquatlug.RolePlanner
	random  *rand.Rand
	engines []*siteEngine
	// noise is the part by which demand varies from second to second, loss the
	// part of reports that never arrive.
	noise float64
	loss  float64

	now      kumquatlug.Millis
	served   float64
	offered  float64
	changes  int
	mostAway int
}

type siteEngine struct {
	name  string
	role  kumquatlug.Role
	going kumquatlug.Role
	back  kumquatlug.Millis
}

func newSite(p kumquatlug.RolePlanner, seed uint64, size, prefill int) *site {
	s := &site{planner: p, random: rand.New(rand.NewPCG(seed, 3)), noise: 0.2}
	for i := range size {
		e := &siteEngine{name: fmt.Sprintf("e%02d", i), role: kumquatlug.RoleDecode}
		if i < prefill {
			e.role = kumquatlug.RolePrefill
		}
		s.engines = append(s.engines, e)
	}
	return s
}

// run plays seconds of a demand given in engines' worth a side.
func (s *site) run(seconds int, prefill, decode float64) {
	for range seconds {
		s.now += kumquatlug.Second
		s.arrive()
		s.serve(s.vary(prefill), s.vary(decode))
		s.report()
		for _, c := range s.planner.Plan(s.now) {
			s.obey(c)
		}
	}
}

func (s *site) vary(mean float64) float64 {
	return mean * (1 + s.noise*(2*s.random.Float64()-1))
}

func (s *site) arrive() {
	for _, e := range s.engines {
		if e.going != "" && s.now >= e.back {
			e.role, e.going = e.going, ""
		}
	}
}

func (s *site) serve(prefill, decode float64) {
	runs, generates, away := 0.0, 0.0, 0
	for _, e := range s.engines {
		switch {
		case e.going != "":
			away++
		case e.role == kumquatlug.RolePrefill:
			runs++
		default:
			generates++
		}
	}
	s.mostAway = max(s.mostAway, away)
	s.offered += prefill + decode
	s.served += min(1, runs/prefill, generates/decode) * (prefill + decode)
	for i := range 3 {
		if s.random.Float64() < s.loss {
			continue
		}
		s.planner.Offered(s.now, kumquatlug.Offer{
			Entry: fmt.Sprint("entry", i), Span: kumquatlug.Second,
			PrefillTokens: prefill * sitePrefill / 3, DecodeTokens: decode * siteDecode / 3,
		})
	}
}

func (s *site) report() {
	for _, e := range s.engines {
		if s.random.Float64() < s.loss {
			continue
		}
		s.planner.Report(s.now, kumquatlug.EngineReport{
			Target: e.name, Role: e.role, Going: e.going, TakenAt: s.now - kumquatlug.Second, InHand: s.random.IntN(40),
		})
	}
}

func (s *site) obey(c kumquatlug.RoleChange) {
	for _, e := range s.engines {
		if e.name == c.Target() && e.going == "" {
			e.going, e.back = c.To(), s.now+siteAway
			s.changes++
		}
	}
}

// goodput returns the part of the offered work that was served.
func (s *site) goodput() float64 { return s.served / s.offered }
