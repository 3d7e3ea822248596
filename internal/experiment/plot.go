package experiment

import (
	"fmt"
	"io"
	"strings"
)

// Measures of the plot, in pixels.
const (
	plotLeft   = 150
	plotWidth  = 520
	plotBar    = 11
	plotGap    = 14
	plotTop    = 34
	plotLegend = 22
)

// colours of the policies, apart also for those who see red and green alike.
var colours = map[PolicyName]string{
	PolicyDecisions:  "#0072b2",
	PolicyBogota:     "#56b4e9",
	PolicyStatic:     "#e69f00",
	PolicyThreshold:  "#cc79a7",
	PolicyRoundRobin: "#999999",
	PolicyLeast:      "#555555",
}

// WritePlot draws the goodput of each policy under each scenario as SVG.
func WritePlot(w io.Writer, results []Result) error {
	var b strings.Builder
	y := plotTop
	scenario := ""
	for _, r := range results {
		if r.Scenario != scenario {
			scenario = r.Scenario
			y += plotGap
			text(&b, plotLeft-8, y+plotBar, "end", scenario)
		}
		bar(&b, y, r)
		y += plotBar
	}
	scale(&b, y)
	legend(&b, y+plotLegend+10)
	height := y + 2*plotLegend + 20
	_, err := fmt.Fprintf(w, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "+
		"font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n%s</svg>\n",
		plotLeft+plotWidth+80, height, b.String())
	return err
}

func bar(b *strings.Builder, y int, r Result) {
	width := r.Goodput * plotWidth
	fmt.Fprintf(b, "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>\n",
		plotLeft, y, width, plotBar-2, colours[r.Policy])
	text(b, plotLeft+int(width)+4, y+plotBar-2, "start", fmt.Sprintf("%.3f", r.Goodput))
}

func scale(b *strings.Builder, bottom int) {
	text(b, plotLeft, 14, "start", "Goodput: answered whole and on time, as a part of what was asked for or could be done")
	for tenth := 0; tenth <= 10; tenth += 2 {
		x := plotLeft + plotWidth*tenth/10
		fmt.Fprintf(b, "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#cccccc\"/>\n", x, plotTop, x, bottom+4)
		text(b, x, plotTop-4, "middle", fmt.Sprintf("%.1f", float64(tenth)/10))
	}
}

func legend(b *strings.Builder, y int) {
	order := []PolicyName{PolicyDecisions, PolicyBogota, PolicyStatic, PolicyThreshold, PolicyRoundRobin, PolicyLeast}
	for n, p := range order {
		x := 20 + n*122
		fmt.Fprintf(b, "<rect x=\"%d\" y=\"%d\" width=\"10\" height=\"10\" fill=\"%s\"/>\n", x, y-9, colours[p])
		text(b, x+14, y, "start", string(p))
	}
}

func text(b *strings.Builder, x, y int, anchor, words string) {
	fmt.Fprintf(b, "<text x=\"%d\" y=\"%d\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, words)
}
