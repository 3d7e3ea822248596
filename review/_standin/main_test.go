// Package standin plays the cases of this review: it runs the project's front as a separate
// process and stands in for the store, the workers, the platform and the clients. It consists of
// test files and is built by "go test -c".
package standin

import (
	"fmt"
	"os"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(c *caseRun) (broken bool, err error){
	"memory": runMemory,
	"stop":   runStop,
	"usage":  runUsage,
}

// TestMain plays a case in place of running tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns its exit code.
func play(name, recordPath string) int {
	c, err := newCaseRun(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	broken, err := cases[name](c)
	switch {
	case err != nil:
		c.log("could not run: %v", err)
		return exitNotRun
	case broken:
		c.log("result: broken")
		return exitBroken
	}
	c.log("result: held")
	return exitHeld
}
