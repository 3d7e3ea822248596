package experiment

import (
	"os"
	"testing"
)

func TestTrial(t *testing.T) {
	for _, s := range Scenarios() {
		if o := os.Getenv("ONLY"); o != "" && o != s.Name {
			continue
		}
		t.Logf("%s best %+v", s.Name, capacityOf(s, 1))
		for _, r := range Compare(s, 1) {
			t.Logf("  %-18s goodput %.3f changes %d crashes %d resends %d", r.Policy, r.Goodput, r.RoleChanges, r.Crashes, r.Resends)
			for _, g := range r.Groups {
				t.Logf("      %-8s %-13s offered %5d on time %5d late %5d refused %5d failed %d first %v whole %v told %v", g.Callers, g.Work, g.Offered, g.OnTime, g.Late, g.Refused, g.Failed, g.First, g.Whole, g.Told)
			}
		}
	}
}
