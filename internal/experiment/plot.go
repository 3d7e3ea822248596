package experiment

import (
	"fmt"
	"io"
	"strings"
)

// Dimensions of the plot.
const (
	plotLeftPx     = 150
	plotWidthPx    = 520
	barHeightPx    = 11
	scenarioGapPx  = 14
	plotTopPx      = 34
	legendHeightPx = 22
)

// policyColours are distinguishable with red-green colour blindness.
var policyColours = map[PolicyName]string{
	PolicyModules:          "#0072b2",
	PolicyBogota:           "#56b4e9",
	PolicyStatic:           "#e69f00",
	PolicyThreshold:        "#cc79a7",
	PolicyRoundRobin:       "#999999",
	PolicyLeastConnections: "#555555",
}

// WritePlot writes a bar chart of the goodput of each policy in each scenario, as SVG.
func WritePlot(w io.Writer, results []Result) error {
	var b strings.Builder
	y := plotTopPx
	scenario := ""
	for _, r := range results {
		if r.Scenario != scenario {
			scenario = r.Scenario
			y += scenarioGapPx
			writeText(&b, plotLeftPx-8, y+barHeightPx, "end", scenario)
		}
		writeBar(&b, y, r)
		y += barHeightPx
	}
	writeAxis(&b, y)
	writeLegend(&b, y+legendHeightPx+10)
	height := y + 2*legendHeightPx + 20
	_, err := fmt.Fprintf(w, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "+
		"font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n%s</svg>\n",
		plotLeftPx+plotWidthPx+80, height, b.String())
	return err
}

func writeBar(b *strings.Builder, y int, r Result) {
	width := r.Goodput * plotWidthPx
	fmt.Fprintf(b, "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>\n",
		plotLeftPx, y, width, barHeightPx-2, policyColours[r.Policy])
	writeText(b, plotLeftPx+int(width)+4, y+barHeightPx-2, "start", fmt.Sprintf("%.3f", r.Goodput))
}

func writeAxis(b *strings.Builder, bottom int) {
	writeText(b, plotLeftPx, 14, "start", "Goodput: answered whole and on time, as a part of what was asked for or could be done")
	for tenth := 0; tenth <= 10; tenth += 2 {
		x := plotLeftPx + plotWidthPx*tenth/10
		fmt.Fprintf(b, "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#cccccc\"/>\n", x, plotTopPx, x, bottom+4)
		writeText(b, x, plotTopPx-4, "middle", fmt.Sprintf("%.1f", float64(tenth)/10))
	}
}

func writeLegend(b *strings.Builder, y int) {
	order := []PolicyName{PolicyModules, PolicyBogota, PolicyStatic, PolicyThreshold, PolicyRoundRobin, PolicyLeastConnections}
	for n, p := range order {
		x := 20 + n*122
		fmt.Fprintf(b, "<rect x=\"%d\" y=\"%d\" width=\"10\" height=\"10\" fill=\"%s\"/>\n", x, y-9, policyColours[p])
		writeText(b, x+14, y, "start", string(p))
	}
}

func writeText(b *strings.Builder, x, y int, anchor, content string) {
	fmt.Fprintf(b, "<text x=\"%d\" y=\"%d\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, content)
}
