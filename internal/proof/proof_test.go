package proof

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
)

func TestPostConditionStatus(t *testing.T) {
	cases := map[string]struct {
		result commands.Result
		want   interface{}
	}{
		"nil":          {nil, gopter.PropTrue},
		"empty string": {"", gopter.PropTrue},
		"string":       {"two holders", gopter.PropFalse},
		"error":        {errors.New("two holders"), gopter.PropError},
		"another type": {7, gopter.PropError},
	}
	for name, c := range cases {
		if got := (Step{}).PostCondition(nil, c.result); got.Status != c.want {
			t.Errorf("%s: status %v, want %v", name, got.Status, c.want)
		}
	}
}

func TestParametersFromConfigAndEnvironment(t *testing.T) {
	t.Setenv(seedEnv, "")
	t.Setenv(runsEnv, "")
	c := Config{Seed: 5, Runs: 300, Steps: 40}
	p := newParameters(t, c)
	if p.Seed() != 5 || p.MinSuccessfulTests != 300 || p.MinSize != 40 || p.MaxSize != 40 || p.Workers != 1 {
		t.Errorf("parameters from the config: %+v", p)
	}
	t.Setenv(seedEnv, "77")
	t.Setenv(runsEnv, "10000")
	p = newParameters(t, c)
	if p.Seed() != 77 || p.MinSuccessfulTests != 10000 || p.MinSize != 40 || p.MaxSize != 40 {
		t.Errorf("parameters from the environment: %+v", p)
	}
}
