package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Unit is what a slope counts.
type Unit string

// The units of slopes.
const (
	UnitBytes   Unit = "bytes"
	UnitHeap    Unit = "heap bytes"
	UnitNanos   Unit = "ns of processor time"
	UnitReads   Unit = "table reads"
	UnitWrites  Unit = "table writes"
	UnitRecords Unit = "TLS records"
	UnitRows    Unit = "table rows written"
)

// Point is a total at one size.
type Point struct {
	size  int
	total float64
}

// NewPoint returns the total that was measured at a size.
func NewPoint(size int, total float64) Point { return Point{size: size, total: total} }

// Slope is how a cost grows with a count.
type Slope struct {
	measurement string
	what        string
	per         string
	unit        Unit
	points      []Point
	value       float64
}

// NewSlope returns the slope through the first and the last of points, of which
// there are at least two of different sizes. What names the cost, per the thing
// that is counted.
func NewSlope(what, per string, unit Unit, points ...Point) (Slope, error) {
	if len(points) < 2 {
		return Slope{}, errors.Newf("%s: a slope needs two sizes", what)
	}
	first, last := points[0], points[len(points)-1]
	if first.size == last.size {
		return Slope{}, errors.Newf("%s: both sizes are %d", what, first.size)
	}
	value := (last.total - first.total) / float64(last.size-first.size)
	return Slope{what: what, per: per, unit: unit, points: points, value: value}, nil
}

// Measurement returns the word by which the slope can be measured again.
func (s Slope) Measurement() string { return s.measurement }

// What names the cost.
func (s Slope) What() string { return s.what }

// Per names what is counted.
func (s Slope) Per() string { return s.per }

// Unit returns what the value counts.
func (s Slope) Unit() Unit { return s.unit }

// Value returns the cost of one more.
func (s Slope) Value() float64 { return s.value }

// Sizes returns the sizes at which the totals were taken, as in "500, 2500".
func (s Slope) Sizes() string {
	sizes := make([]string, len(s.points))
	for i, p := range s.points {
		sizes[i] = fmt.Sprint(p.size)
	}
	return strings.Join(sizes, ", ")
}

// MarshalJSON writes the slope with the totals that it was made of.
func (s Slope) MarshalJSON() ([]byte, error) {
	type point struct {
		Size  int     `json:"size"`
		Total float64 `json:"total"`
	}
	points := make([]point, len(s.points))
	for i, p := range s.points {
		points[i] = point{p.size, p.total}
	}
	return json.Marshal(struct {
		Measurement string  `json:"measurement"`
		What        string  `json:"what"`
		Per         string  `json:"per"`
		Unit        Unit    `json:"unit"`
		Value       float64 `json:"value"`
		Points      []point `json:"points"`
	}{s.measurement, s.what, s.per, s.unit, s.value, points})
}

// WriteText writes slopes as a table for people.
func WriteText(w io.Writer, slopes []Slope) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEASUREMENT\tWHAT\tVALUE\tUNIT\tPER\tSIZES")
	for _, s := range slopes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", s.measurement, s.what, formatValue(s.value), s.unit, s.per, s.Sizes())
	}
	return errors.Wrap(table.Flush(), "write the table")
}

// formatValue writes a value with about three digits.
func formatValue(value float64) string {
	switch {
	case value >= 100 || value <= -100:
		return fmt.Sprintf("%.0f", value)
	case value >= 1 || value <= -1:
		return fmt.Sprintf("%.1f", value)
	default:
		return fmt.Sprintf("%.4f", value)
	}
}

// WriteJSON writes slopes for programs.
func WriteJSON(w io.Writer, slopes []Slope) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(slopes), "write the slopes")
}
