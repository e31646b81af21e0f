package slugdispatch

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// event is one event of a stream as it came.
type event struct {
	raw []byte
	// id is empty when the event has none.
	id string
}

// eventReader splits a stream into events.
type eventReader struct {
	r *bufio.Reader
}

var errEventTooLong = errors.New("event is too long")

// next returns the next whole event. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF when the stream ends inside an event.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.raw) <= maxEventBytes {
			continue
		}
		switch {
		case len(e.raw) > maxEventBytes:
			return event{}, errEventTooLong
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
	}
}

// relay sends the events of an answer to the caller as they come. It leaves out those
// that the caller has.
func (x *run) relay(e *slugsend.Exchange, w *watchdog) error {
	if err := x.accept(e); err != nil {
		return err
	}
	if e.Answer.StatusCode != http.StatusOK {
		return x.failureAnswer(e)
	}
	events := eventReader{bufio.NewReader(e.Answer.Body)}
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return x.finish(e)
		}
		if err != nil {
			return errors.Wrap(err, "read event")
		}
		w.Event()
		x.count()
		if err := x.event(e, ev); err != nil {
			return err
		}
	}
}

// finish ends an answer that is whole. One without events is relayed as well.
func (x *run) finish(e *slugsend.Exchange) error {
	_ = e.Answer.Body.Close()
	if !x.begun {
		x.head(e.Answer, -1)
	}
	return nil
}

// errOrder says that events are missing.
var errOrder = errors.New("events are missing")

// event sends one event to the caller.
func (x *run) event(e *slugsend.Exchange, ev event) error {
	last, hadLast := number(x.lastEvent)
	id, hasID := number(ev.id)
	switch {
	case hadLast && hasID && id <= last:
		return nil
	case hadLast && hasID && id > last+1:
		return errors.Wrapf(errOrder, "event %d follows %d", id, last)
	}
	if !x.begun {
		x.head(e.Answer, -1)
		x.first = time.Since(x.call.Received)
	}
	if _, err := x.w.Write(ev.raw); err != nil {
		return stop(errors.Wrap(err, "write event"))
	}
	if ev.id != "" {
		x.lastEvent = ev.id
	}
	return errors.Wrap(http.NewResponseController(x.w).Flush(), "flush event")
}

func number(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// failureAnswer relays an endpoint's own failure, which counts as run. One in the
// middle of an answer cuts it.
func (x *run) failureAnswer(e *slugsend.Exchange) error {
	x.count()
	body, err := io.ReadAll(io.LimitReader(e.Answer.Body, maxHeldAnswer))
	if err != nil {
		return errors.Wrap(err, "read failure")
	}
	if x.begun || x.route.Idempotent() && x.ran+1 < x.route.Attempts {
		return errors.Newf("endpoint answered with status %d", e.Answer.StatusCode)
	}
	_ = e.Answer.Body.Close()
	x.head(e.Answer, len(body))
	_, err = x.w.Write(body)
	return errors.Wrap(err, "write failure")
}
