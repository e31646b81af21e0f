// Package slugburnreport renders the burn rates of the service-level objectives as a table
// and as a bar chart.
//
// # Usage
//
//	slugburnreport.Table(os.Stdout, burn)
//	os.WriteFile("burn.svg", slugburnreport.SVG(burn), 0o644)
package slugburnreport

import (
	"bytes"
	"fmt"
	"html"
	"io"
	"text/tabwriter"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugburn"
)

// Table prints one row for each service, workspace, class and objective.
func Table(w io.Writer, b slugoperatorapi.Burn) {
	tab := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprint(tab, "SERVICE\tWORKSPACE\tCLASS\tOBJECTIVE\tGOOD\tTOTAL\tSHARE\tWANTED")
	for _, d := range slugburn.Windows {
		_, _ = fmt.Fprintf(tab, "\tBURN %s", formatWindow(d))
	}
	_, _ = fmt.Fprintln(tab)
	for _, l := range b.Lines {
		n := l.Counts[len(l.Counts)-1]
		_, _ = fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%d\t%d\t%.4f\t%.2f", l.Service, l.Workspace, l.Class, l.Objective, n.Good, n.Total, n.Share(), l.Share)
		for _, r := range l.Rates {
			_, _ = fmt.Fprintf(tab, "\t%.2f", r)
		}
		_, _ = fmt.Fprintln(tab)
	}
	_ = tab.Flush()
	for _, h := range b.Missing {
		_, _ = fmt.Fprintf(w, "host %s did not answer; its counts are not included\n", h)
	}
}

func formatWindow(d time.Duration) string {
	if d < time.Hour {
		return fmt.Sprintf("%dM", d/time.Minute)
	}
	return fmt.Sprintf("%dH", d/time.Hour)
}

// Dimensions of the plot in pixels.
const (
	labelWidth = 420
	plotWidth  = 400
	lineHeight = 22
	margin     = 30
	// maxRate is the burn rate at the right edge of the plot; higher rates are cut off there.
	maxRate = 10
)

// windowColours holds the bar colours of the windows, the shortest window first.
var windowColours = []string{"#b3422f", "#d99a2b", "#3a6ea5"}

// SVG returns a bar chart of the burn rates, with a group of bars for each line. The dashed
// line marks a rate of 1, at which the error budget is exactly used up.
func SVG(b slugoperatorapi.Burn) []byte {
	var out bytes.Buffer
	height := 2*margin + lineHeight*max(1, len(b.Lines))
	_, _ = fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", labelWidth+plotWidth+2*margin, height)
	_, _ = fmt.Fprintf(&out, `<rect width="100%%" height="100%%" fill="white"/>`+"\n")
	for i, d := range slugburn.Windows {
		x := labelWidth + i*80
		_, _ = fmt.Fprintf(&out, `<rect x="%d" y="8" width="10" height="10" fill="%s"/><text x="%d" y="17">%s</text>`+"\n", x, windowColours[i], x+14, formatWindow(d))
	}
	for i, l := range b.Lines {
		writeRow(&out, l, margin+i*lineHeight)
	}
	one := labelWidth + plotWidth/maxRate
	_, _ = fmt.Fprintf(&out, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#555" stroke-dasharray="4 3"/>`+"\n</svg>\n", one, margin-4, one, height-margin)
	return out.Bytes()
}

func writeRow(out *bytes.Buffer, l slugoperatorapi.BurnLine, y int) {
	label := fmt.Sprintf("%s  %s  %s  %s", l.Service, l.Workspace, l.Class, l.Objective)
	_, _ = fmt.Fprintf(out, `<text x="10" y="%d">%s</text>`+"\n", y+13, html.EscapeString(label))
	for i, r := range l.Rates {
		width := min(1, r/maxRate) * plotWidth
		_, _ = fmt.Fprintf(out, `<rect x="%d" y="%d" width="%.1f" height="5" fill="%s"><title>%.2f</title></rect>`+"\n", labelWidth, y+2+i*6, max(1, width), windowColours[i%len(windowColours)], r)
	}
}
