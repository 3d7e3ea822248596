package planner

import (
	"fmt"
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const (
	simPrefillRate = 8000.0
	simDecodeRate  = 1500.0
	// simChangeMs is how long a simulated engine takes to drain and change its role.
	simChangeMs = 8 * kumquatlug.Second
)

// simGroup is a fluid-flow simulation of a group: in each second it serves what the
// scarcer side can serve.
type simGroup struct {
	planner kumquatlug.RolePlanner
	random  *rand.Rand
	engines []*simEngine
	// noise is the relative variation of the demand from second to second, reportLoss
	// the share of reports that are lost.
	noise      float64
	reportLoss float64

	now         kumquatlug.Millis
	served      float64
	offered     float64
	changes     int
	maxChanging int
}

type simEngine struct {
	name         string
	role         kumquatlug.Role
	pendingRole  kumquatlug.Role
	changeDoneAt kumquatlug.Millis
}

func newSimGroup(p kumquatlug.RolePlanner, seed uint64, size, prefill int) *simGroup {
	s := &simGroup{planner: p, random: rand.New(rand.NewPCG(seed, 3)), noise: 0.2}
	for i := range size {
		e := &simEngine{name: fmt.Sprintf("e%02d", i), role: kumquatlug.RoleDecode}
		if i < prefill {
			e.role = kumquatlug.RolePrefill
		}
		s.engines = append(s.engines, e)
	}
	return s
}

// run simulates seconds of a demand in units of one engine's capacity on each side.
func (s *simGroup) run(seconds int, prefill, decode float64) {
	for range seconds {
		s.now += kumquatlug.Second
		s.finishChanges()
		s.serve(s.addNoise(prefill), s.addNoise(decode))
		s.report()
		for _, c := range s.planner.Plan(s.now) {
			s.startChange(c)
		}
	}
}

func (s *simGroup) addNoise(mean float64) float64 {
	return mean * (1 + s.noise*(2*s.random.Float64()-1))
}

func (s *simGroup) finishChanges() {
	for _, e := range s.engines {
		if e.pendingRole != "" && s.now >= e.changeDoneAt {
			e.role, e.pendingRole = e.pendingRole, ""
		}
	}
}

func (s *simGroup) serve(prefill, decode float64) {
	prefillEngines, decodeEngines, changing := 0.0, 0.0, 0
	for _, e := range s.engines {
		switch {
		case e.pendingRole != "":
			changing++
		case e.role == kumquatlug.RolePrefill:
			prefillEngines++
		default:
			decodeEngines++
		}
	}
	s.maxChanging = max(s.maxChanging, changing)
	s.offered += prefill + decode
	s.served += min(1, prefillEngines/prefill, decodeEngines/decode) * (prefill + decode)
	for i := range 3 {
		if s.random.Float64() < s.reportLoss {
			continue
		}
		s.planner.RecordDemand(s.now, kumquatlug.Demand{
			Gateway: fmt.Sprint("entry", i), Period: kumquatlug.Second,
			PrefillTokens: prefill * simPrefillRate / 3, DecodeTokens: decode * simDecodeRate / 3,
		})
	}
}

func (s *simGroup) report() {
	for _, e := range s.engines {
		if s.random.Float64() < s.reportLoss {
			continue
		}
		s.planner.Report(s.now, kumquatlug.EngineReport{
			Target: e.name, Role: e.role, PendingRole: e.pendingRole, TakenAt: s.now - kumquatlug.Second, InFlight: s.random.IntN(40),
		})
	}
}

func (s *simGroup) startChange(c kumquatlug.RoleChange) {
	for _, e := range s.engines {
		if e.name == c.Target() && e.pendingRole == "" {
			e.pendingRole, e.changeDoneAt = c.To(), s.now+simChangeMs
			s.changes++
		}
	}
}

// goodput returns the share of the offered work that was served.
func (s *simGroup) goodput() float64 { return s.served / s.offered }
