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

// Count is the number of occurrences of one failure in one minute.
type Count struct {
	Minute time.Time `json:"minute"`
	// Kind is refused, failed or attempt. Cause is the code of a refusal, the beginning of
	// the error of a failed request, or the stage of a failed attempt.
	Kind  string `json:"kind"`
	Cause string `json:"cause"`
	Count int    `json:"count"`
}

// Summary counts refusals, failures and failed attempts by minute and cause.
type Summary struct {
	Counts []Count `json:"counts"`
	// Served is the number of served requests.
	Served int `json:"served"`
	// Skipped is the number of lines in another format. Dropped is the number of lines that
	// the processes dropped to limit the size of their logs.
	Skipped int `json:"skipped"`
	Dropped int `json:"dropped"`
}

// Summary counts refusals, failures and failed attempts by minute and cause.
func (l *Log) Summary() Summary {
	s := Summary{Skipped: l.Skipped}
	counts := map[Count]int{}
	for _, line := range l.Lines {
		c := Count{Minute: line.Time.Truncate(time.Minute)}
		switch line.Event {
		case slugevent.RequestServed:
			s.Served++
			continue
		case slugevent.LinesDropped:
			for name := range line.Fields {
				s.Dropped += int(line.numberField(name))
			}
			continue
		case slugevent.RequestRefused:
			c.Kind, c.Cause = "refused", line.stringField("code")
		case slugevent.RequestFailed:
			// The text after the first colon is specific to the request.
			c.Kind = "failed"
			c.Cause, _, _ = strings.Cut(line.stringField("error"), ":")
		case slugevent.AttemptFailed:
			c.Kind, c.Cause = "attempt", line.stringField("stage")
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

// Write prints one line per count, and then the totals.
func (s Summary) Write(w io.Writer) {
	for _, c := range s.Counts {
		_, _ = fmt.Fprintf(w, "%s  %6d  %-8s %s\n", c.Minute.UTC().Format("2006-01-02 15:04"), c.Count, c.Kind, c.Cause)
	}
	_, _ = fmt.Fprintf(w, "%d served, %d lines in another format, %d lines dropped by the processes\n", s.Served, s.Skipped, s.Dropped)
}

// Dimensions of the plot in pixels.
const (
	labelWidth = 420
	barWidth   = 400
	lineHeight = 20
	margin     = 24
)

// barColours maps kinds to the colours of their bars.
var barColours = map[string]string{"refused": "#d99a2b", "failed": "#b3422f", "attempt": "#3a6ea5"}

// SVG returns a bar chart of the counts.
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
