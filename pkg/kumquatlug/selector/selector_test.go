package selector

import (
	"fmt"
	"testing"
)

func TestExpressionMatches(t *testing.T) {
	labels := Labels{"pool": "draft", "zone": "a", "gpu": ""}
	cases := map[string]bool{
		"":                  true,
		"pool=draft":        true,
		"pool=draft,zone=b": false,
		"zone!=b":           true,
		"rack!=7":           true,
		"gpu":               true,
		"!gpu":              false,
		"!leaving":          true,
	}
	for text, want := range cases {
		e, err := Parse(text)
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		if got := e.Matches(labels); got != want {
			t.Errorf("%q matches = %v, want %v", text, got, want)
		}
	}
}

func TestParseRejectsMalformedExpressions(t *testing.T) {
	for _, text := range []string{"=a", "pool=draft,,", "!", "a b=c", "pool==", "pool!=a=b"} {
		if _, err := Parse(text); err == nil {
			t.Errorf("%q: no error", text)
		}
	}
}

func ExampleExpression_Mismatch() {
	e, _ := Parse("pool=draft,zone!=b")
	fmt.Println(e.Mismatch(Labels{"pool": "draft", "zone": "b"}))
	// Output: zone!=b
}
