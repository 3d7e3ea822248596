package ratelimit

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A response sent before the worker advertised a limit can arrive after one that states the
// limit. It must not end the limit, since the worker is still overloaded.
func TestStaleResponseDoesNotEndLimit(t *testing.T) {
	var l Limit
	if !l.Hear(100, Answer{Says: kumquatlug.NewRateLimit(8), SentAt: 50, Good: true}) {
		t.Fatal("the first limit was not reported as a change")
	}
	if l.Hear(110, Answer{Says: kumquatlug.NoRateLimit(), SentAt: 60, Good: true}) || !l.Named() {
		t.Error("the response to an older request ended the limit")
	}
	if l.Hear(120, Answer{Says: kumquatlug.NewRateLimit(20), SentAt: 70, Good: true}) || l.PerSecond() != 8 {
		t.Errorf("the response to an older request raised the limit to %v", l.PerSecond())
	}
	if !l.Hear(130, Answer{Says: kumquatlug.NewRateLimit(3), SentAt: 70, Good: true}) || l.PerSecond() != 3 {
		t.Errorf("limit %v, want the lower of two concurrent responses", l.PerSecond())
	}
	if !l.Hear(200, Answer{Says: kumquatlug.NewRateLimit(20), SentAt: 140, Good: true}) || l.PerSecond() != 20 {
		t.Errorf("limit %v, want the higher one of a newer response", l.PerSecond())
	}
	if !l.Hear(300, Answer{Says: kumquatlug.NoRateLimit(), SentAt: 210, Good: true}) || l.Named() {
		t.Error("a newer response without a limit did not end it")
	}
}

// Refusals, failures and prefill-only responses may lack the limit. If they ended it, an
// overloaded worker would be flooded.
func TestOnlyComparableResponseEndsLimit(t *testing.T) {
	var l Limit
	l.Hear(100, Answer{Says: kumquatlug.NewRateLimit(8), SentAt: 50, Good: true, Prompt: true})
	if !l.Hear(210, Answer{Says: kumquatlug.NoRateLimit(), SentAt: 200, Good: true}) || l.Named() {
		t.Error("a decode response did not end a limit that a prefill-only response stated")
	}
	l.Hear(1000, Answer{Says: kumquatlug.NewRateLimit(8), SentAt: 900, Good: true})
	if !l.Hear(1000+decodeLimitHold, Answer{Says: kumquatlug.NoRateLimit(), SentAt: 2000, Good: true, Prompt: true}) {
		t.Error("a limit stated during decode never ends at an engine that only runs prefill")
	}
	for name, a := range map[string]Answer{
		"failure":      {Says: kumquatlug.NoRateLimit(), SentAt: 200},
		"prefill only": {Says: kumquatlug.NoRateLimit(), SentAt: 200, Good: true, Prompt: true},
		"unreadable":   {SentAt: 200, Good: true},
	} {
		var l Limit
		l.Hear(100, Answer{Says: kumquatlug.NewRateLimit(8), SentAt: 50, Good: true})
		if l.Hear(210, a) || !l.Named() {
			t.Errorf("%s: the limit ended", name)
		}
	}
}
