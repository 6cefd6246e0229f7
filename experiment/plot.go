package experiment

import (
	"fmt"
	"io"
)

// Size of the plot in pixels.
const (
	plotWidth, plotHeight = 900, 480
	plotMargin            = 50
)

// Plot draws the weighted service of each team over time as SVG.
func Plot(out io.Writer, load Load, o Outcome) {
	last := o.series[len(o.series)-1]
	top := 0.0
	for _, v := range last[1:] {
		top = max(top, v)
	}
	x := func(t float64) float64 { return plotMargin + t/last[0]*(plotWidth-2*plotMargin) }
	y := func(v float64) float64 { return plotHeight - plotMargin - v/top*(plotHeight-2*plotMargin) }
	fmt.Fprintf(out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(out, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="20">%s, %s: service by share over time (slot seconds, seconds)</text>`+"\n", plotMargin, load.Name, o.Design)
	for i := range load.Teams {
		fmt.Fprintf(out, `<polyline fill="none" stroke="hsl(%d,70%%,40%%)" stroke-width="%d" points="`, 360*i/len(load.Teams), 1+boolToInt(load.Teams[i].Router < 0))
		for _, row := range o.series {
			fmt.Fprintf(out, "%.1f,%.1f ", x(row[0]), y(row[i+1]))
		}
		fmt.Fprintf(out, "\"/>\n")
	}
	fmt.Fprintf(out, `<text x="%d" y="%d">0</text><text x="%d" y="%d">%.0f s</text><text x="5" y="%d">%.0f</text>`+"\n</svg>\n",
		plotMargin, plotHeight-plotMargin+16, plotWidth-plotMargin-20, plotHeight-plotMargin+16, last[0], plotMargin, top)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
