package slugevent

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(b)
}

// Guards against a process that hangs because the reader of its log output has stopped
// reading: lines must be dropped instead, and the drop be logged.
func TestBlockedWriterDoesNotBlockEmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockedWriter{release: make(chan struct{})}
		l, flush := NewBounded(w, logrus.InfoLevel, "host")
		start := time.Now()
		for i := range 3 * maxQueuedLines {
			l.Emit(Event(400+i%100), Fields{"request": i})
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
		close(w.release)
		time.Sleep(2 * droppedReportInterval)
		flush(time.Second)
		assert.Assert(t, strings.Contains(w.String(), `"unread":`), "the dropped lines are not reported")
	})
}

// Guards against a frequent event that floods the log or uses up the limit of other
// events.
func TestLinesAreRateLimitedPerEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w bytes.Buffer
		l, flush := NewBounded(&w, logrus.InfoLevel, "host")
		for range 2 * lineBurst {
			l.Emit(RequestServed, nil)
		}
		l.Emit(DutyTaken, nil)
		time.Sleep(2 * droppedReportInterval)
		flush(time.Second)
		served := strings.Count(w.String(), `"event":412,`)
		assert.Equal(t, served, lineBurst)
		assert.Assert(t, strings.Contains(w.String(), `"event":300,`), "the lines of one event used up the limit of another event")
		assert.Assert(t, strings.Contains(w.String(), `"event412":300`), "%s", w.String()[max(0, w.Len()-300):])
	})
}

// Guards against losing the last lines of a process that exits.
func TestFlushWritesQueuedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w bytes.Buffer
		l, flush := NewBounded(&w, logrus.InfoLevel, "host")
		l.Emit(ProcessEnded, nil)
		flush(time.Second)
		assert.Assert(t, strings.Contains(w.String(), `"event":109`))
	})
}
