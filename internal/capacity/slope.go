package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Unit is the unit of a slope's value.
type Unit string

// Units of slopes.
const (
	UnitBytes          Unit = "bytes"
	UnitHeapBytes      Unit = "heap bytes"
	UnitProcessorNanos Unit = "ns of processor time"
	UnitReads          Unit = "table reads"
	UnitWrites         Unit = "table writes"
	UnitTLSRecords     Unit = "TLS records"
	UnitRowsWritten    Unit = "table rows written"
)

// Point is the total cost at one size.
type Point struct {
	size  int
	total float64
}

// NewPoint returns the point for the total cost measured at a size.
func NewPoint(size int, total float64) Point { return Point{size: size, total: total} }

// Slope is the growth of a cost per counted object.
type Slope struct {
	measurement   string
	costName      string
	countedObject string
	unit          Unit
	points        []Point
	value         float64
}

// NewSlope returns the slope between the first and the last of points. It returns an
// error if there are fewer than two points or both have the same size. The argument
// costName names the cost, countedObject the object by whose number it grows.
func NewSlope(costName, countedObject string, unit Unit, points ...Point) (Slope, error) {
	if len(points) < 2 {
		return Slope{}, errors.Newf("%s: a slope needs at least two points", costName)
	}
	first, last := points[0], points[len(points)-1]
	if first.size == last.size {
		return Slope{}, errors.Newf("%s: first and last point have the same size %d", costName, first.size)
	}
	value := (last.total - first.total) / float64(last.size-first.size)
	return Slope{costName: costName, countedObject: countedObject, unit: unit, points: points, value: value}, nil
}

// Measurement returns the name of the measurement that produced the slope.
func (s Slope) Measurement() string { return s.measurement }

// CostName names the cost.
func (s Slope) CostName() string { return s.costName }

// CountedObject names the counted object.
func (s Slope) CountedObject() string { return s.countedObject }

// Unit returns the unit of the value.
func (s Slope) Unit() Unit { return s.unit }

// Value returns the cost per counted object.
func (s Slope) Value() float64 { return s.value }

// Sizes returns the sizes at which totals were measured, such as "500, 2500".
func (s Slope) Sizes() string {
	sizes := make([]string, len(s.points))
	for i, p := range s.points {
		sizes[i] = fmt.Sprint(p.size)
	}
	return strings.Join(sizes, ", ")
}

// MarshalJSON encodes the slope with the points it was computed from.
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
	}{s.measurement, s.costName, s.countedObject, s.unit, s.value, points})
}

// WriteText writes slopes as an aligned text table.
func WriteText(w io.Writer, slopes []Slope) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEASUREMENT\tWHAT\tVALUE\tUNIT\tPER\tSIZES")
	for _, s := range slopes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", s.measurement, s.costName, formatValue(s.value), s.unit, s.countedObject, s.Sizes())
	}
	return errors.Wrap(table.Flush(), "write the table")
}

// formatValue formats a value with about three significant digits.
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

// WriteJSON writes slopes as indented JSON.
func WriteJSON(w io.Writer, slopes []Slope) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(slopes), "write the slopes")
}
