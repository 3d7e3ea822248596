// Command kumquatlug serves a fixed fleet of language-model engines and plain
// services, and is the operators' tool for it.
package main

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"

func main() {
	clock.NewMonotonic()
}
