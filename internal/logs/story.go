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

// longestLine bounds one line of a log, in bytes; a line has some 500.
const longestLine = 1 << 20

// Line is one line of a process's log.
type Line struct {
	at     time.Time
	node   string
	what   string
	fields map[string]any
}

// At returns when it was written, by the clock of its VM.
func (l Line) At() time.Time { return l.at }

// Node returns the process that wrote it.
func (l Line) Node() string { return l.node }

// What returns the message.
func (l Line) What() string { return l.what }

// Story is what the logs of all processes tell of one request, VM or worker.
type Story struct {
	about string
	lines []Line
	// unread counts lines that are no JSON.
	unread int
}

// Lines returns the lines in the order of their times.
func (s Story) Lines() []Line { return s.lines }

// ReadStory collects the lines that name about: a request by its id, a worker by
// its name, or a VM by the lines that it wrote. What stands before the first
// brace of a line, as collectors add it, is passed over.
func ReadStory(logs io.Reader, about string) (Story, error) {
	s := Story{about: about}
	in := bufio.NewScanner(logs)
	in.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), longestLine)
	for in.Scan() {
		text := in.Bytes()
		if !bytes.Contains(text, []byte(about)) {
			continue
		}
		line, err := parseLine(text)
		if err != nil {
			s.unread++
			continue
		}
		if line.names(about) {
			s.lines = append(s.lines, line)
		}
	}
	sort.SliceStable(s.lines, func(i, j int) bool { return s.lines[i].at.Before(s.lines[j].at) })
	return s, errors.Wrap(in.Err(), "read the logs")
}

// parseLine reads one line.
func parseLine(text []byte) (Line, error) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, errors.New("no JSON")
	}
	fields := map[string]any{}
	if err := json.Unmarshal(text[at:], &fields); err != nil {
		return Line{}, errors.Wrap(err, "read a line")
	}
	word := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	when, err := time.Parse(time.RFC3339Nano, strings.Replace(word("ts"), "+0000", "Z", 1))
	if err != nil {
		return Line{}, errors.Wrap(err, "read a line's time")
	}
	l := Line{at: when, node: word("node"), what: word("msg"), fields: fields}
	delete(fields, "level")
	return l, nil
}

// names reports that the line is about a request, a worker or a VM.
func (l Line) names(about string) bool {
	if l.node == about {
		return true
	}
	for _, name := range []string{"request", "worker", "to", "name"} {
		if l.fields[name] == about {
			return true
		}
	}
	if steps, is := l.fields["steps"].(map[string]any); is && steps["reader"] == about {
		return true
	}
	roles, _ := l.fields["roles"].(map[string]any)
	_, named := roles[about]
	return named
}

// Tell writes the story: each line with the time since the first, then what
// became of a request.
func (s Story) Tell(out io.Writer) error {
	if len(s.lines) == 0 {
		return errors.Newf("no line names %q", s.about)
	}
	first := s.lines[0].at
	for _, l := range s.lines {
		if _, err := fmt.Fprintf(out, "%8.3f s  %-16s %-20s %s\n", l.at.Sub(first).Seconds(), l.node, l.what, l.rest(s.about)); err != nil {
			return err
		}
	}
	if verdict := s.verdict(); verdict != "" {
		if _, err := fmt.Fprintf(out, "\n%s\n", verdict); err != nil {
			return err
		}
	}
	if s.unread > 0 {
		_, err := fmt.Fprintf(out, "%d lines that name it could not be read\n", s.unread)
		return err
	}
	return nil
}

// rest returns the line's other fields as name=value, in order of their names.
func (l Line) rest(about string) string {
	names := make([]string, 0, len(l.fields))
	for name, value := range l.fields {
		if value != about && value != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	words := make([]string, len(names))
	for i, name := range names {
		// Values that came as JSON go back to it.
		text, _ := json.Marshal(l.fields[name])
		words[i] = name + "=" + string(text)
	}
	return strings.Join(words, " ")
}

// verdict says in a sentence what became of a request, by its last line.
func (s Story) verdict() string {
	last := s.lines[len(s.lines)-1]
	if last.fields["request"] != s.about {
		return ""
	}
	sent := 0
	for _, l := range s.lines {
		if worker, _ := l.fields["worker"].(string); worker != "" && l.fields["ran"] != "not-run" {
			sent++
		}
	}
	switch {
	case last.what == "answered":
		return "The client has the worker's answer."
	case last.what == "broken off":
		return "A part of the answer had gone out; the connection was broken off so that it does not look whole."
	case last.what == "refused" && last.fields["ran"] == "not-run":
		return "Refused: nothing ran and nothing will."
	case last.what == "refused":
		return fmt.Sprintf("Failed: it may have run at a worker (sent %d times); it was not sent again.", max(sent-1, 1))
	}
	return "Nothing tells its end: its front was lost, or the client left before it had an answer."
}
