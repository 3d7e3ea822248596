package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestCommand(t *testing.T) {
	cases := []struct {
		args []string
		want string
		bad  bool
	}{
		{args: []string{"messages", "--scale", "0.01"}, want: "fingerprint"},
		{args: []string{"messages", "--scale", "0.01", "--format", "json"}, want: `"measurement": "messages"`},
		{args: []string{"messages", "--scale", "2"}, bad: true},
		{args: []string{"messages", "--format", "xml"}, bad: true},
		{args: []string{"nothing"}, bad: true},
	}
	for _, c := range cases {
		var out bytes.Buffer
		root := newRoot()
		root.SetArgs(c.args)
		root.SetOut(&out)
		err := root.Execute()
		if (err != nil) != c.bad || !strings.Contains(out.String(), c.want) {
			t.Errorf("%v: %v, %q", c.args, err, out.String())
		}
	}
}
