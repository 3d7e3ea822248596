package eventstream

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
)

// Guards against a boundary or a torn end that is missed because of line endings, comments or how the bytes arrive.
func TestBoundariesOfStreams(t *testing.T) {
	for _, c := range []struct {
		stream string
		// events and end are the number of complete events and the end of the last one.
		events, end int
		inside      bool
	}{
		{"", 0, 0, false},
		{"data: x\n\n", 1, 9, false},
		{"data: x\n\ndata: y\n", 1, 9, true},
		{"data: x\r\n\r\n", 1, 11, false},
		{"data: x\r\n\r", 0, 0, true},
		{"data: x\r\n\rid: 2", 1, 10, true},
		{"data: x\r\r", 1, 9, false},
		{"data: x\r", 0, 0, true},
		{"data: x\n\r\ndata: y\r\n\n", 2, 20, false},
		{"data: x\n\n: ping\n", 1, 9, false},
		{"data: x\n\n: ping\n\n", 1, 17, false},
		{"data: x\n\n: pi", 1, 9, true},
		{": ping\nid: 1\n", 0, 0, true},
		{"\n\n\ndata: x\n\n\n", 1, 13, false},
		{"data\n\n", 1, 6, false},
		{"\n\n", 0, 2, false},
		{"id: 1\nda", 0, 0, true},
		{"id: 1\ndata: x\n\nid: 2\n", 1, 15, true},
		{"id: 1\r\ndata: x\r\n\r\nid", 1, 18, true},
	} {
		// All at once, byte by byte, and in halves.
		for _, size := range []int{max(len(c.stream), 1), 1, len(c.stream)/2 + 1} {
			var b Boundaries
			end := 0
			for at := 0; at < len(c.stream); at += size {
				if n, found := b.Add([]byte(c.stream[at:min(at+size, len(c.stream))])); found {
					end = at + n
				}
			}
			if b.Events() != c.events || end != c.end || b.Inside() != c.inside {
				t.Errorf("%q by %d bytes: %d events, end %d, inside %t; want %+v", c.stream, size, b.Events(), end, b.Inside(), c)
			}
		}
	}
}

func TestLastID(t *testing.T) {
	for events, want := range map[string]int64{
		"id: 4\ndata: id: 7\n\n": 4, "id:4\r\ndata: x\r\n\r\n": 4, "id: 4\rdata: x\r\r": 4, "data: x\n\n": 0, "id: 3\n\nid: x\n\n": 3, "": 0, "grid: 5\n\n": 0,
		"id: 1\ndata: x\n\nid: 27\ndata: id: 9\n\n": 27, "data: id: 4\n\n": 0, "id: x\n\n": 0, "id:3\n\n": 3,
	} {
		if got, found := LastID([]byte(events)); got != want || found != (want > 0) {
			t.Errorf("%q: %d, %t", events, got, found)
		}
	}
}

func TestIsContentType(t *testing.T) {
	for header, want := range map[string]bool{
		"text/event-stream": true, "Text/Event-Stream ; charset=utf-8": true, "": false, "text/event-streams": false, "application/json": false,
	} {
		if got := IsContentType(header); got != want {
			t.Errorf("%q: %t", header, got)
		}
	}
}

var lineEnding = regexp.MustCompile("\r\n|\r|\n")

// Compares with a reading by whole lines.
func FuzzBoundaries(f *testing.F) {
	f.Add("id: 1\r\ndata: x\r\n\r\n: ping\n\ndata: y\r\r", 3)
	f.Add("data: x\n\n\n: a", 1)
	f.Fuzz(func(t *testing.T, stream string, size int) {
		size = max(size, 1)
		var b Boundaries
		for at := 0; at < len(stream); at += size {
			n, found := b.Add([]byte(stream[at:min(at+size, len(stream))]))
			if n < 0 || n > size || !found && n != 0 {
				t.Fatalf("%q: end %d, %t", stream, n, found)
			}
		}
		if b.emptyReturned {
			// The line feed of the empty line is due, so that this line has not ended.
			stream = strings.TrimSuffix(stream, "\r")
		}
		lines := lineEnding.Split(stream, -1)
		events, fields := 0, false
		for _, line := range lines[:len(lines)-1] {
			switch {
			case line == "" && fields:
				events, fields = events+1, false
			case line != "" && !strings.HasPrefix(line, ":"):
				fields = true
			}
		}
		inside := fields || lines[len(lines)-1] != "" || b.emptyReturned
		if b.Events() != events || b.Inside() != inside {
			t.Fatalf("%q by %d bytes: %d events, inside %t; want %d, %t", stream, size, b.Events(), b.Inside(), events, inside)
		}
	})
}

func BenchmarkAdd(b *testing.B) {
	event := bytes.Repeat([]byte("id: 12\ndata: "+strings.Repeat("x", 280)+"\n\n"), 4)
	b.SetBytes(int64(len(event)))
	for b.Loop() {
		var boundaries Boundaries
		boundaries.Add(event)
	}
}
