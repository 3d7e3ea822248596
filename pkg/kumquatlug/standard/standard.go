// Package standard puts a default in the place of a figure that a config leaves
// out or gives as a negative one. A count, a span or a rate below zero means
// nothing; taken as given it would be a limit that nothing passes or a wait that
// is over before it begins.
//
// It also replaces negative figures; modules that replace only zero use cmp.Or.
package standard

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Int returns given if it is above zero, and usual otherwise.
func Int(given, usual int) int {
	if given <= 0 {
		return usual
	}
	return given
}

// Int64 returns given if it is above zero, and usual otherwise.
func Int64(given, usual int64) int64 {
	if given <= 0 {
		return usual
	}
	return given
}

// Float returns given if it is above zero, and usual otherwise.
func Float(given, usual float64) float64 {
	if given <= 0 {
		return usual
	}
	return given
}

// Millis returns given if it is above zero, and usual otherwise.
func Millis(given, usual kumquatlug.Millis) kumquatlug.Millis {
	if given <= 0 {
		return usual
	}
	return given
}
