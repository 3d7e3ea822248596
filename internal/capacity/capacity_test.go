package capacity

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"strings"
	"testing"
)

func TestSlopeUsesFirstAndLastPoint(t *testing.T) {
	s, err := NewSlope("heartbeat", "heartbeat", UnitBytes, NewPoint(100, 5000), NewPoint(200, 9999), NewPoint(300, 13000))
	if err != nil || s.Value() != 40 || s.Sizes() != "100, 200, 300" {
		t.Errorf("slope %v per %q over sizes %q, want 40 over 100, 200, 300: %v", s.Value(), s.CountedObject(), s.Sizes(), err)
	}
	for _, points := range [][]Point{nil, {NewPoint(1, 1)}, {NewPoint(2, 1), NewPoint(2, 3)}} {
		if _, err := NewSlope("bad", "one", UnitBytes, points...); err == nil {
			t.Errorf("a slope through %v was accepted", points)
		}
	}
}

// The parser counts the same records and bytes no matter how reads and writes split
// the records.
func TestRecordParserHandlesAnySplit(t *testing.T) {
	var wire []byte
	for _, body := range []int{17, 100, 16401} {
		wire = append(wire, 23, 3, 3)
		wire = binary.BigEndian.AppendUint16(wire, uint16(body))
		wire = append(wire, make([]byte, body)...)
	}
	for _, chunkSize := range []int{1, 3, 5, 6, 1000, len(wire)} {
		var parser recordParser
		var payload, started int64
		for offset := 0; offset < len(wire); offset += chunkSize {
			c, b := parser.parse(wire[offset:min(offset+chunkSize, len(wire))])
			payload, started = payload+c, started+b
		}
		if payload != 83+16384 || started != 3 {
			t.Errorf("chunks of %d bytes: %d records with %d bytes of payload", chunkSize, started, payload)
		}
	}
}

// Every measurement runs at small sizes. Values that don't depend on the machine are
// compared exactly; heap and processor time are not.
func TestMeasurementsRunAtSmallScale(t *testing.T) {
	wantValues := map[string]float64{
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
				if s.Measurement() != m.Name() || s.CostName() == "" || s.CountedObject() == "" {
					t.Errorf("slope with a missing or wrong description: %+v", s)
				}
				if s.Unit() == UnitBytes && s.Value() <= 0 {
					t.Errorf("%s: %v bytes, want more than 0", s.CostName(), s.Value())
				}
				want, exact := wantValues[s.CostName()+"/"+string(s.Unit())]
				if exact && s.Value() != want {
					t.Errorf("%s: %v %s, want %v", s.CostName(), s.Value(), s.Unit(), want)
				}
			}
		})
	}
	if _, err := Run(context.Background(), Config{}, []string{"nothing"}); err == nil {
		t.Error("an unknown measurement was accepted")
	}
}

func TestWriteTextAndWriteJSON(t *testing.T) {
	s, err := NewSlope("heartbeat", "heartbeat", UnitBytes, NewPoint(1, 600), NewPoint(3, 1800))
	if err != nil {
		t.Fatal(err)
	}
	var text, body bytes.Buffer
	if err := WriteText(&text, []Slope{s}); err != nil || !strings.Contains(text.String(), "600") {
		t.Errorf("text %q does not contain 600: %v", text.String(), err)
	}
	var read []struct {
		Value  float64
		Points []struct{ Size int }
	}
	if err := WriteJSON(&body, []Slope{s}); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(body.Bytes(), &read); err != nil || read[0].Value != 600 || read[0].Points[1].Size != 3 {
		t.Errorf("decoded %+v, want value 600 and second size 3: %v", read, err)
	}
}
