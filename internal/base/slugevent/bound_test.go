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

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

func TestStalledReaderDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &stalled{release: make(chan struct{})}
		l, flush := NewBounded(w, logrus.InfoLevel, "host")
		begun := time.Now()
		for i := range 3 * queuedLines {
			l.Emit(Event(400+i%100), Fields{"request": i})
		}
		assert.Equal(t, time.Since(begun), time.Duration(0))
		close(w.release)
		time.Sleep(2 * tellDropped)
		flush(time.Second)
		assert.Assert(t, strings.Contains(w.String(), `"unread":`), "nothing tells of dropped lines")
	})
}

func TestLinesOfAnEventAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w bytes.Buffer
		l, flush := NewBounded(&w, logrus.InfoLevel, "host")
		for range 2 * lineBurst {
			l.Emit(RequestServed, nil)
		}
		l.Emit(DutyTaken, nil)
		time.Sleep(2 * tellDropped)
		flush(time.Second)
		served := strings.Count(w.String(), `"event":412,`)
		assert.Equal(t, served, lineBurst)
		assert.Assert(t, strings.Contains(w.String(), `"event":300,`), "an event suffers from another's lines")
		assert.Assert(t, strings.Contains(w.String(), `"event412":300`), "%s", w.String()[max(0, w.Len()-300):])
	})
}

func TestFlushWritesWhatIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w bytes.Buffer
		l, flush := NewBounded(&w, logrus.InfoLevel, "host")
		l.Emit(ProcessEnded, nil)
		flush(time.Second)
		assert.Assert(t, strings.Contains(w.String(), `"event":109`))
	})
}
