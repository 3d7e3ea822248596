package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestMeasurementsAndFlags(t *testing.T) {
	cases := []struct {
		args       []string
		wantOutput string
		wantError  bool
	}{
		{args: []string{"messages", "--scale", "0.01"}, wantOutput: "fingerprint"},
		{args: []string{"messages", "--scale", "0.01", "--format", "json"}, wantOutput: `"measurement": "messages"`},
		{args: []string{"messages", "--scale", "2"}, wantError: true},
		{args: []string{"messages", "--format", "xml"}, wantError: true},
		{args: []string{"nothing"}, wantError: true},
	}
	for _, c := range cases {
		var out bytes.Buffer
		root := newRootCommand()
		root.SetArgs(c.args)
		root.SetOut(&out)
		err := root.Execute()
		if (err != nil) != c.wantError || !strings.Contains(out.String(), c.wantOutput) {
			t.Errorf("%v: error %v, want error %v; output %q, want it to contain %q", c.args, err, c.wantError, out.String(), c.wantOutput)
		}
	}
}
