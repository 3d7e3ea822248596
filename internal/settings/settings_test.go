package settings

import (
	"strings"
	"testing"

	"github.com/spf13/pflag"
)

func TestFlagOverridesVariable(t *testing.T) {
	t.Setenv("KUMQUATLUG_ZONE", "b")
	t.Setenv("KUMQUATLUG_QUEUE", "many")
	flags := pflag.NewFlagSet("t", pflag.ContinueOnError)
	zone := flags.String("zone", "", "")
	name := flags.String("name", "n", "")
	flags.Int("queue", 3, "")
	if err := flags.Parse([]string{"--zone", "a"}); err != nil {
		t.Fatal(err)
	}
	ps := FromEnvironment(flags)
	if *zone != "a" || *name != "n" {
		t.Fatalf("zone %q name %q", *zone, *name)
	}
	if len(ps) != 1 || ps[0].Flag() != "queue" {
		t.Fatalf("problems %v", ps)
	}
}

func TestCheckerReportsAllProblems(t *testing.T) {
	c := NewChecker(nil)
	c.Address("listen", "example.com:80")
	c.Required("zone", "name of a data centre", "")
	c.Between("drain-lag-ms", "milliseconds", -1, 0, 60_000)
	c.OneOf("log-level", "loud", "debug", "info")
	c.URL("platform", "10.0.0.1:80")
	err := c.Problems().Err()
	for _, want := range []string{
		"--listen (KUMQUATLUG_LISTEN)", "--zone (KUMQUATLUG_ZONE)",
		"milliseconds, 0 to 60000", "debug or info", "--platform",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in %v", want, err)
		}
	}
}
