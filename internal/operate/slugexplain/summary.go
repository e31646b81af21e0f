package slugexplain

import (
	"bytes"
	"cmp"
	"fmt"
	"html"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
)

// Count is how often something went wrong in a minute.
type Count struct {
	Minute time.Time `json:"minute"`
	// Kind is refused, failed or attempt; Cause is the code, the error or the stage.
	Kind  string `json:"kind"`
	Cause string `json:"cause"`
	Count int    `json:"count"`
}

// Summary counts refusals, failures and failed attempts by minute and cause.
type Summary struct {
	Counts []Count `json:"counts"`
	// Served is the number of requests that were served.
	Served int `json:"served"`
	// Skipped is the number of lines that could not be read, Dropped that of lines which
	// the processes dropped to bound their logs.
	Skipped int `json:"skipped"`
	Dropped int `json:"dropped"`
}

// Summary counts.
func (l *Log) Summary() Summary {
	s := Summary{Skipped: l.Skipped}
	counts := map[Count]int{}
	for _, x := range l.Lines {
		c := Count{Minute: x.Time.Truncate(time.Minute)}
		switch x.Event {
		case slugevent.RequestServed:
			s.Served++
			continue
		case slugevent.LinesDropped:
			for name := range x.Fields {
				s.Dropped += int(x.numberField(name))
			}
			continue
		case slugevent.RequestRefused:
			c.Kind, c.Cause = "refused", x.stringField("code")
		case slugevent.RequestFailed:
			// What follows the first colon differs from request to request.
			c.Kind = "failed"
			c.Cause, _, _ = strings.Cut(x.stringField("error"), ":")
		case slugevent.AttemptFailed:
			c.Kind, c.Cause = "attempt", x.stringField("stage")
		default:
			continue
		}
		counts[c]++
	}
	for c, n := range counts {
		c.Count = n
		s.Counts = append(s.Counts, c)
	}
	slices.SortFunc(s.Counts, func(a, b Count) int {
		return cmp.Or(a.Minute.Compare(b.Minute), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Cause, b.Cause))
	})
	return s
}

// Write prints the counts, a line each.
func (s Summary) Write(w io.Writer) {
	for _, c := range s.Counts {
		_, _ = fmt.Fprintf(w, "%s  %6d  %-8s %s\n", c.Minute.UTC().Format("2006-01-02 15:04"), c.Count, c.Kind, c.Cause)
	}
	_, _ = fmt.Fprintf(w, "%d served, %d lines of another form, %d lines dropped by the processes\n", s.Served, s.Skipped, s.Dropped)
}

// Sizes of the plot in pixels.
const (
	labelWidth = 420
	barWidth   = 400
	lineHeight = 20
	margin     = 24
)

// barColours of the kinds.
var barColours = map[string]string{"refused": "#d99a2b", "failed": "#b3422f", "attempt": "#3a6ea5"}

// SVG plots the counts, a bar each.
func (s Summary) SVG() []byte {
	maxCount := 1
	for _, c := range s.Counts {
		maxCount = max(maxCount, c.Count)
	}
	var out bytes.Buffer
	height := 2*margin + lineHeight*max(1, len(s.Counts))
	_, _ = fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", labelWidth+barWidth+4*margin, height)
	_, _ = fmt.Fprint(&out, `<rect width="100%" height="100%" fill="white"/>`+"\n")
	for i, c := range s.Counts {
		y := margin + i*lineHeight
		label := fmt.Sprintf("%s %s %s", c.Minute.UTC().Format("15:04"), c.Kind, c.Cause)
		width := max(1, barWidth*c.Count/maxCount)
		_, _ = fmt.Fprintf(&out, `<text x="10" y="%d">%s</text>`, y+13, html.EscapeString(label))
		_, _ = fmt.Fprintf(&out, `<rect x="%d" y="%d" width="%d" height="14" fill="%s"/>`, labelWidth, y+2, width, barColours[c.Kind])
		_, _ = fmt.Fprintf(&out, `<text x="%d" y="%d">%d</text>`+"\n", labelWidth+width+6, y+13, c.Count)
	}
	out.WriteString("</svg>\n")
	return out.Bytes()
}
