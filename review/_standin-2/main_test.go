// Package standin2 plays the scripts of the second review against fronts as separate processes. It consists of test files
// and is built by "go test -c". The program is run from the root of the repository: standin-2 CASE RECORD. It exits with 1
// if the rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the environment the disruption is
// left out.
package standin2

import (
	"fmt"
	"os"
	"testing"
)

// cases are the scripts by name. Each returns what broke the rule, empty if it held.
var cases = map[string]func(d *deployment, trouble bool) (string, error){
	"grey-worker":          greyWorker,
	"refused-move":         refusedMove,
	"killed-after-release": killedAfterRelease,
	"upgrade-in-place":     upgradeInPlace,
	"version-decoder":      versionDecoderLost,
}

// TestMain plays a case in place of running tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(script func(d *deployment, trouble bool) (string, error), record string) int {
	l, err := newLedger(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d, err := newDeployment(l)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	broken, err := script(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		l.note("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return 2
	case broken != "":
		l.note("the rule is broken: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	l.note("the rule held")
	fmt.Println("held")
	return 0
}
