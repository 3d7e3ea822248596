// Package standard puts a default in the place of a figure that a config leaves
// out or gives as a negative one. A count, a span or a rate below zero means
// nothing; taken as given it would be a limit that nothing passes or a wait that
// is over before it begins.
//
// It also replaces negative figures; modules that replace only zero use cmp.Or.
package standard

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Int returns given if it is above zero, and usual otherwise.
func Int(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}

// Int64 returns given if it is above zero, and usual otherwise.
func Int64(value, fallback int64) int64 {
	if value <= 0 {
		return fallback
	}
	return value
}

// Float returns given if it is above zero, and usual otherwise.
func Float(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}

// Millis returns given if it is above zero, and usual otherwise.
func Millis(value, fallback kumquatlug.Millis) kumquatlug.Millis {
	if value <= 0 {
		return fallback
	}
	return value
}
