package ratelimit

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// An answer that left its worker before the limit was named comes after one that names
// it. Taken for news, it would end the limit while the worker is still in need.
func TestStaleResponseDoesNotEndLimit(t *testing.T) {
	var l Limit
	if !l.Hear(100, Answer{Says: kumquatlug.NewRateLimit(8), SentAt: 50, Good: true}) {
		t.Fatal("a first limit is no news")
	}
	if l.Hear(110, Answer{Says: kumquatlug.NoRateLimit(), SentAt: 60, Good: true}) || !l.Named() {
		t.Error("an answer to an older request ended the limit")
	}
	if l.Hear(120, Answer{Says: kumquatlug.NewRateLimit(20), SentAt: 70, Good: true}) || l.PerSecond() != 8 {
		t.Errorf("an answer to an older request raised the limit to %v", l.PerSecond())
	}
	if !l.Hear(130, Answer{Says: kumquatlug.NewRateLimit(3), SentAt: 70, Good: true}) || l.PerSecond() != 3 {
		t.Errorf("of two answers under way at once the lower limit holds, not %v", l.PerSecond())
	}
	if !l.Hear(200, Answer{Says: kumquatlug.NewRateLimit(20), SentAt: 140, Good: true}) || l.PerSecond() != 20 {
		t.Errorf("a newer answer raises the limit, not %v", l.PerSecond())
	}
	if !l.Hear(300, Answer{Says: kumquatlug.NoRateLimit(), SentAt: 210, Good: true}) || l.Named() {
		t.Error("a newer answer without a limit ends it")
	}
}

// Refusals, failures and answers that only tell that a prompt was read may lack the
// limit. Taken for its end, they would let a worker in need be flooded.
func TestOnlyComparableResponseEndsLimit(t *testing.T) {
	var l Limit
	l.Hear(100, Answer{Says: kumquatlug.NewRateLimit(8), SentAt: 50, Good: true, Prompt: true})
	if !l.Hear(210, Answer{Says: kumquatlug.NoRateLimit(), SentAt: 200, Good: true}) || l.Named() {
		t.Error("an engine that generates again keeps the limit that it named when it read prompts")
	}
	l.Hear(1000, Answer{Says: kumquatlug.NewRateLimit(8), SentAt: 900, Good: true})
	if !l.Hear(1000+decodeLimitHold, Answer{Says: kumquatlug.NoRateLimit(), SentAt: 2000, Good: true, Prompt: true}) {
		t.Error("an engine that only reads prompts now keeps its limit for ever")
	}
	for name, a := range map[string]Answer{
		"failure":          {Says: kumquatlug.NoRateLimit(), SentAt: 200},
		"prompt read":      {Says: kumquatlug.NoRateLimit(), SentAt: 200, Good: true, Prompt: true},
		"nothing readable": {SentAt: 200, Good: true},
	} {
		var l Limit
		l.Hear(100, Answer{Says: kumquatlug.NewRateLimit(8), SentAt: 50, Good: true})
		if l.Hear(210, a) || !l.Named() {
			t.Errorf("%s: the limit ended", name)
		}
	}
}
