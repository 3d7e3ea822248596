// Package standard replaces config values that are unset or negative by defaults. A negative
// count, duration or rate has no meaning; if it were used, it would be a limit that rejects
// everything or a wait that ends before it begins.
//
// Packages that replace only zero values use cmp.Or.
package standard

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Int returns value if it is positive, and fallback otherwise.
func Int(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}

// Int64 returns value if it is positive, and fallback otherwise.
func Int64(value, fallback int64) int64 {
	if value <= 0 {
		return fallback
	}
	return value
}

// Float returns value if it is positive, and fallback otherwise.
func Float(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}

// Millis returns value if it is positive, and fallback otherwise.
func Millis(value, fallback kumquatlug.Millis) kumquatlug.Millis {
	if value <= 0 {
		return fallback
	}
	return value
}
