package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes limits the length of a log line; a usual line has about 500 bytes.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	at      time.Time
	node    string
	message string
	fields  map[string]any
}

// At returns the time at which the line was written, by the clock of its VM.
func (l Line) At() time.Time { return l.at }

// Node returns the name of the process that wrote the line.
func (l Line) Node() string { return l.node }

// Message returns the message of the line.
func (l Line) Message() string { return l.message }

// Timeline is the sequence of log lines about one request, VM or worker.
type Timeline struct {
	subject string
	lines   []Line
	// unparsed counts lines that are not valid JSON.
	unparsed int
}

// Lines returns the lines in order of time.
func (t Timeline) Lines() []Line { return t.lines }

// ReadTimeline collects the log lines about a subject: a request or a part of prompts by its id, a
// worker by its name, a quarantine by its key, or a VM by the lines that it wrote. Text before the first brace of a line, as log
// collectors add it, is ignored.
func ReadTimeline(input io.Reader, subject string) (Timeline, error) {
	t := Timeline{subject: subject}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		data := scanner.Bytes()
		if !bytes.Contains(data, []byte(subject)) {
			continue
		}
		line, err := parseLine(data)
		if err != nil {
			t.unparsed++
			continue
		}
		if line.mentions(subject) {
			t.lines = append(t.lines, line)
		}
	}
	sort.SliceStable(t.lines, func(i, j int) bool { return t.lines[i].at.Before(t.lines[j].at) })
	return t, errors.Wrap(scanner.Err(), "read the logs")
}

// parseLine parses one log line.
func parseLine(data []byte) (Line, error) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, errors.New("no JSON")
	}
	fields := map[string]any{}
	if err := json.Unmarshal(data[start:], &fields); err != nil {
		return Line{}, errors.Wrap(err, "read a line")
	}
	popString := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	timestamp, err := time.Parse(time.RFC3339Nano, strings.Replace(popString("ts"), "+0000", "Z", 1))
	if err != nil {
		return Line{}, errors.Wrap(err, "read a line's time")
	}
	l := Line{at: timestamp, node: popString("node"), message: popString("msg"), fields: fields}
	delete(fields, "level")
	return l, nil
}

// mentions reports whether the line is about a request, a worker or a VM.
func (l Line) mentions(subject string) bool {
	if l.node == subject {
		return true
	}
	for _, name := range []string{"request", "worker", "to", "name", "quarantine"} {
		if l.fields[name] == subject {
			return true
		}
	}
	if l.lists(subject) {
		return true
	}
	if steps, isObject := l.fields["steps"].(map[string]any); isObject && steps["reader"] == subject {
		return true
	}
	roles, _ := l.fields["roles"].(map[string]any)
	_, found := roles[subject]
	return found
}

// lists reports whether the line lists a request, a worker or a part of prompts in connection with a
// crash.
func (l Line) lists(subject string) bool {
	for _, name := range []string{"requests", "suspects", "identities", "crashes"} {
		list, _ := l.fields[name].([]any)
		for _, item := range list {
			text, _ := item.(string)
			if text == subject || strings.HasSuffix(text, ":"+subject) || strings.HasPrefix(text, subject+"/") {
				return true
			}
		}
	}
	return false
}

// Print writes the lines with the time since the first one, then the outcome of a request.
// It fails if there is no line.
func (t Timeline) Print(out io.Writer) error {
	if len(t.lines) == 0 {
		return errors.Newf("no line names %q", t.subject)
	}
	first := t.lines[0].at
	for _, l := range t.lines {
		if _, err := fmt.Fprintf(out, "%8.3f s  %-16s %-20s %s\n", l.at.Sub(first).Seconds(), l.node, l.message, l.otherFields(t.subject)); err != nil {
			return err
		}
	}
	if verdict := t.outcome(); verdict != "" {
		if _, err := fmt.Fprintf(out, "\n%s\n", verdict); err != nil {
			return err
		}
	}
	if t.unparsed > 0 {
		_, err := fmt.Fprintf(out, "%d lines that name it could not be read\n", t.unparsed)
		return err
	}
	return nil
}

// otherFields returns the remaining fields of the line as name=value, sorted by name.
func (l Line) otherFields(subject string) string {
	names := make([]string, 0, len(l.fields))
	for name, value := range l.fields {
		if value != subject && value != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	pairs := make([]string, len(names))
	for i, name := range names {
		// Values decoded from JSON can always be encoded.
		data, _ := json.Marshal(l.fields[name])
		pairs[i] = name + "=" + string(data)
	}
	return strings.Join(pairs, " ")
}

// outcome describes the outcome of a request in one sentence, according to its last line.
func (t Timeline) outcome() string {
	last := t.lines[len(t.lines)-1]
	if last.fields["request"] != t.subject {
		return ""
	}
	attempts := 0
	for _, l := range t.lines {
		if worker, _ := l.fields["worker"].(string); worker != "" && l.fields["ran"] != "not-run" {
			attempts++
		}
	}
	switch {
	case last.message == "answered":
		return "The client has the worker's answer."
	case last.message == "broken off":
		return "A part of the answer had gone out; the connection was broken off so that it does not look whole."
	case last.message == "refused" && last.fields["ran"] == "not-run":
		return "Refused: nothing ran and nothing will."
	case last.message == "refused":
		return fmt.Sprintf("Failed: it may have run at a worker (sent %d times); it was not sent again.", max(attempts-1, 1))
	}
	return "Nothing tells its end: its front was lost, or the client left before it had an answer."
}
