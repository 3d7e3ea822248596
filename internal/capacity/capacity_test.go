package capacity

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"strings"
	"testing"
)

func TestSlopeIsTheDifferenceOfTheEnds(t *testing.T) {
	s, err := NewSlope("heartbeat", "heartbeat", UnitBytes, NewPoint(100, 5000), NewPoint(200, 9999), NewPoint(300, 13000))
	if err != nil || s.Value() != 40 || s.Sizes() != "100, 200, 300" {
		t.Errorf("got %v per %q over %q: %v", s.Value(), s.Per(), s.Sizes(), err)
	}
	for _, points := range [][]Point{nil, {NewPoint(1, 1)}, {NewPoint(2, 1), NewPoint(2, 3)}} {
		if _, err := NewSlope("bad", "one", UnitBytes, points...); err == nil {
			t.Errorf("a slope through %v was accepted", points)
		}
	}
}

// Records come in pieces of any size; wherever they are cut, the same bytes are
// counted.
func TestRecordsAreFollowedThroughAnyCut(t *testing.T) {
	var wire []byte
	for _, body := range []int{17, 100, 16401} {
		wire = append(wire, 23, 3, 3)
		wire = binary.BigEndian.AppendUint16(wire, uint16(body))
		wire = append(wire, make([]byte, body)...)
	}
	for _, cut := range []int{1, 3, 5, 6, 1000, len(wire)} {
		var r records
		var carried, begun int64
		for at := 0; at < len(wire); at += cut {
			c, b := r.take(wire[at:min(at+cut, len(wire))])
			carried, begun = carried+c, begun+b
		}
		if carried != 83+16384 || begun != 3 {
			t.Errorf("pieces of %d: %d records carry %d", cut, begun, carried)
		}
	}
}

// Each measurement runs on small sizes. What does not depend on the machine is
// compared; heap and processor time are not.
func TestMeasurementsRun(t *testing.T) {
	exact := map[string]float64{
		"lease: held and renewed/table reads":      1,
		"lease: held and renewed/table writes":     1,
		"config change committed/table writes":     1,
		"config head read by a reader/table reads": 1,
		"run-once call, each alone/table writes":   2,
		"report: calls in hand at a crash/bytes":   34.025,
	}
	for _, m := range Measurements() {
		t.Run(m.Name(), func(t *testing.T) {
			slopes, err := Run(context.Background(), Config{Scale: 0.01}, []string{m.Name()})
			if err != nil || len(slopes) == 0 {
				t.Fatalf("%d slopes: %v", len(slopes), err)
			}
			for _, s := range slopes {
				if s.Measurement() != m.Name() || s.What() == "" || s.Per() == "" {
					t.Errorf("incomplete: %+v", s)
				}
				if s.Unit() == UnitBytes && s.Value() <= 0 {
					t.Errorf("%s: %v bytes", s.What(), s.Value())
				}
				want, known := exact[s.What()+"/"+string(s.Unit())]
				if known && s.Value() != want {
					t.Errorf("%s: %v %s, want %v", s.What(), s.Value(), s.Unit(), want)
				}
			}
		})
	}
	if _, err := Run(context.Background(), Config{}, []string{"nothing"}); err == nil {
		t.Error("an unknown measurement was accepted")
	}
}

func TestSlopesAreWrittenForPeopleAndPrograms(t *testing.T) {
	s, err := NewSlope("heartbeat", "heartbeat", UnitBytes, NewPoint(1, 600), NewPoint(3, 1800))
	if err != nil {
		t.Fatal(err)
	}
	var text, body bytes.Buffer
	if err := WriteText(&text, []Slope{s}); err != nil || !strings.Contains(text.String(), "600") {
		t.Errorf("text %q: %v", text.String(), err)
	}
	var read []struct {
		Value  float64
		Points []struct{ Size int }
	}
	if err := WriteJSON(&body, []Slope{s}); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(body.Bytes(), &read); err != nil || read[0].Value != 600 || read[0].Points[1].Size != 3 {
		t.Errorf("read back %+v: %v", read, err)
	}
}
