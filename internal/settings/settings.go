// Package settings reads a command's settings from flags and environment variables and
// checks them all at once.
//
// The flag "peer-listen" corresponds to the variable KUMQUATLUG_PEER_LISTEN; the flag takes
// precedence. All problems are reported together, each with its flag, its variable and the
// expected unit or format, so that an operator can fix a deployment in one step.
package settings

import (
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"
)

// Prefix is the prefix of all environment variables.
const Prefix = "KUMQUATLUG_"

// Variable returns the environment variable for a flag.
func Variable(flag string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Problem is one invalid setting.
type Problem struct {
	name     string
	expected string
	reason   string
	// inFile says that the setting is a field of a settings file, not a flag.
	inFile bool
}

// NewProblem returns a problem with a flag; unit is the expected unit or format of its
// value.
func NewProblem(flag, unit, reason string) Problem {
	return Problem{name: flag, expected: unit, reason: reason}
}

// NewFieldProblem returns a problem with a field of a settings file; unit is the expected
// unit or format of its value.
func NewFieldProblem(field, unit, reason string) Problem {
	return Problem{name: field, expected: unit, reason: reason, inFile: true}
}

// String returns the flag and variable or the field, the reason and the expected value.
func (p Problem) String() string {
	if p.inFile {
		return fmt.Sprintf("%s in the settings file: %s; expected %s", p.name, p.reason, p.expected)
	}
	return fmt.Sprintf("--%s (%s): %s; expected %s", p.name, Variable(p.name), p.reason, p.expected)
}

// Flag returns the flag's name without dashes.
func (p Problem) Flag() string { return p.name }

// Problems are the invalid settings of a command.
type Problems []Problem

// Err returns nil if there is no problem, else one error that lists all.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return errors.Newf("%d invalid settings:\n  %s", len(ps), strings.Join(lines, "\n  "))
}

// FromEnvironment sets the flags that were not given on the command line from their
// environment variables, and returns a problem for each value that can't be parsed.
func FromEnvironment(flags *pflag.FlagSet) Problems {
	var ps Problems
	flags.VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(Variable(f.Name))
		if !ok || f.Changed {
			return
		}
		if err := f.Value.Set(value); err != nil {
			ps = append(ps, NewProblem(f.Name, f.Value.Type(), "can't be parsed"))
			return
		}
		f.Changed = true
	})
	return ps
}

// Checker collects the problems of one command.
type Checker struct {
	problems Problems
}

// NewChecker returns a checker that already holds ps.
func NewChecker(ps Problems) *Checker {
	return &Checker{problems: ps}
}

// Problems returns all problems found so far.
func (c *Checker) Problems() Problems { return c.problems }

// Append adds problems that were found elsewhere.
func (c *Checker) Append(ps Problems) { c.problems = append(c.problems, ps...) }

// Add adds a problem with a flag.
func (c *Checker) Add(flag, unit, reason string) {
	c.problems = append(c.problems, NewProblem(flag, unit, reason))
}

// Address requires host:port with an IP address or an empty host.
func (c *Checker) Address(flag, value string) {
	const unit = "IP:port"
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		c.Add(flag, unit, fmt.Sprintf("%q is not an address", value))
		return
	}
	if host != "" && net.ParseIP(host) == nil {
		c.Add(flag, unit, fmt.Sprintf("%q is not an IP address", host))
	}
}

// Required requires a non-empty value.
func (c *Checker) Required(flag, unit, value string) {
	if value == "" {
		c.Add(flag, unit, "is not set")
	}
}

// Between requires low <= value <= high.
func (c *Checker) Between(flag, unit string, value, low, high int64) {
	if value < low || value > high {
		c.Add(flag, fmt.Sprintf("%s, %d to %d", unit, low, high), fmt.Sprintf("%d is out of range", value))
	}
}

// OneOf requires one of the allowed words.
func (c *Checker) OneOf(flag, value string, allowed ...string) {
	for _, word := range allowed {
		if value == word {
			return
		}
	}
	c.Add(flag, strings.Join(allowed, " or "), fmt.Sprintf("%q is not known", value))
}

// URL requires an http or https URL.
func (c *Checker) URL(flag, value string) {
	if !strings.HasPrefix(value, "http://") && !strings.HasPrefix(value, "https://") {
		c.Add(flag, "http:// or https:// URL", fmt.Sprintf("%q has no such scheme", value))
	}
}

// PEM returns the PEM text of a setting whose value is either the text itself or the path
// of a file with it.
func PEM(value string) ([]byte, error) {
	if strings.Contains(value, "-----BEGIN") {
		return []byte(value), nil
	}
	text, err := os.ReadFile(value)
	return text, errors.Wrap(err, "read the PEM file")
}
