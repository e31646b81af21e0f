package slugdispatch

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// event is one server-sent event, with its bytes unchanged.
type event struct {
	raw []byte
	// id is empty if the event has none.
	id string
	// comment reports that the event has no fields.
	comment bool
	// malformed reports that a line is neither a field nor a comment.
	malformed bool
}

// addLine takes over what a line of the event says.
func (e *event) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case len(name) == 0:
		return
	case string(name) == "id":
		e.id = string(bytes.TrimSpace(value))
	case bytes.ContainsFunc(name, func(r rune) bool { return r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9') }):
		e.malformed = true
	case len(name) == len(line) && !bytes.Equal(name, []byte("data")):
		e.malformed = true
	}
	e.comment = false
}

// eventReader splits a stream into server-sent events.
type eventReader struct {
	buf  *bufio.Reader
	hold *slugmemory.Hold
	// raw holds the current event.
	raw []byte
}

// maxKeptBytes is the largest buffer that is kept for the next event.
const maxKeptBytes = 32 << 10

// newEventReader returns an eventReader of a response. Its hold must be released.
func newEventReader(e *slugsend.Exchange) *eventReader {
	return &eventReader{buf: bufio.NewReader(e.Response.Body), hold: e.Hold()}
}

var errEventTooLong = errors.New("event exceeds the maximum size")

// next returns the next complete event, which is valid until the next call. It returns io.EOF
// at the end of the stream, and io.ErrUnexpectedEOF if the stream ends inside an event.
func (r *eventReader) next() (event, error) {
	e := event{comment: true}
	if r.raw = r.raw[:0]; cap(r.raw) > maxKeptBytes {
		r.raw = nil
		r.hold.Release()
	}
	lineStart := 0
	for {
		part, err := r.buf.ReadSlice('\n')
		var grown error
		r.raw, grown = r.hold.Append(r.raw, part)
		if grown == nil && errors.Is(err, bufio.ErrBufferFull) && len(r.raw) <= maxEventBytes {
			continue
		}
		switch {
		case grown != nil:
			return event{}, grown
		case len(r.raw) > maxEventBytes:
			return event{}, errEventTooLong
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		line := bytes.TrimRight(r.raw[lineStart:], "\r\n")
		lineStart = len(r.raw)
		if len(line) == 0 {
			e.raw = r.raw
			return e, nil
		}
		e.addLine(line)
	}
}

// relayStream sends the events of a response to the caller as they arrive, except those
// that the caller already has.
func (d *dispatch) relayStream(a *decodeAttempt, s *standby) error {
	e, c := a.exchange, a.choice
	if err := d.checkResponse(e); err != nil {
		return err
	}
	if e.Response.StatusCode != http.StatusOK {
		return d.relayErrorResponse(e)
	}
	if d.headerWritten && !sameFormat(e.Response.Header, d.w.Header()) {
		return errors.Wrapf(errForeignEvent, "content type %q", e.Response.Header.Get("Content-Type"))
	}
	from := resumption{d.headerWritten, a.after, mediaType(e.Response.Header) == eventStream}
	events := newEventReader(e)
	defer events.hold.Release()
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return d.finishStream(e)
		}
		if err != nil {
			return errors.Wrap(err, "read event")
		}
		now := time.Now()
		if !s.Heard() {
			return errReplaced
		}
		a.silence.Event(now)
		c.Event(now)
		d.countStart()
		if err := d.checkStart(c, &a.start); err != nil {
			return err
		}
		if err := d.relayEvent(a, ev, from); err != nil {
			return err
		}
		c.Await(time.Now())
		s.Wait(d)
	}
}

// eventStream is the media type of a stream of server-sent events.
const eventStream = "text/event-stream"

// sameFormat reports whether two responses have the same media type and encoding.
func sameFormat(a, b http.Header) bool {
	return mediaType(a) == mediaType(b) && a.Get("Content-Encoding") == b.Get("Content-Encoding")
}

// mediaType returns the media type of a response without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// finishStream completes a response. If there was no event, it still writes the header,
// unless the response ended with its connection: then nothing shows that it is complete.
func (d *dispatch) finishStream(e *slugsend.Exchange) error {
	_ = e.Response.Body.Close()
	if !d.headerWritten {
		if endsWithConnection(e.Response) {
			return errors.Wrap(io.ErrUnexpectedEOF, "read first event")
		}
		d.writeHeader(e.Response, -1)
	}
	return nil
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// errMissingEvents means that the IDs of the events, which are consecutive numbers, have
// a gap.
var errMissingEvents = errors.New("gap in the event numbers")

// errForeignEvent means that a response contains something other than events of the stream,
// which the caller must not find in it.
var errForeignEvent = errors.New("response is not part of the stream")

// resumption says where a response takes up a stream.
type resumption struct {
	// within is set if another response has begun the stream.
	within bool
	// after is the ID of the last event before the response.
	after string
	// declared is set if the response is declared to be a stream of events.
	declared bool
}

// check rejects an event that does not belong to the stream. Within a stream each event must
// show its place, since an error text could be joined to it otherwise.
func (r resumption) check(ev event) error {
	id, hasID := eventNumber(ev.id)
	after, _ := eventNumber(r.after)
	switch {
	case ev.malformed && (r.within || r.declared):
		return errors.Wrap(errForeignEvent, "malformed event")
	case !r.within || ev.comment:
		return nil
	case !hasID:
		return errors.Wrapf(errForeignEvent, "event with ID %q", ev.id)
	case id <= after:
		return errors.Wrapf(errForeignEvent, "event %d after %d, of another run", id, after)
	}
	return nil
}

// relayEvent sends one event to the caller, unless the caller already has it.
func (d *dispatch) relayEvent(a *decodeAttempt, ev event, from resumption) error {
	if err := from.check(ev); err != nil {
		return err
	}
	last, hadLast := eventNumber(d.lastEvent)
	id, hasID := eventNumber(ev.id)
	switch {
	case hadLast && hasID && id <= last:
		return nil
	case hadLast && hasID && id > last+1:
		return errors.Wrapf(errMissingEvents, "event %d follows %d", id, last)
	}
	d.recordStart(a.choice, &a.start)
	if !d.headerWritten {
		d.writeHeader(a.exchange.Response, -1)
		d.timeToFirst = time.Since(d.call.Received)
	}
	if _, err := (callerWriter{d.w}).Write(ev.raw); err != nil {
		return err
	}
	if ev.id != "" {
		d.lastEvent = ev.id
	}
	return callerFailure(http.NewResponseController(d.w).Flush(), "flush event")
}

func eventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// relayErrorResponse handles a response with a status other than 200, which counts as a
// run. It relays the response, unless events were already relayed or another attempt
// may follow.
func (d *dispatch) relayErrorResponse(e *slugsend.Exchange) error {
	d.countStart()
	if d.headerWritten || d.route.Idempotent() && len(d.ranAt)+1 < d.route.MaxAttempts {
		return errors.Newf("endpoint responded with status %d", e.Response.StatusCode)
	}
	b, err := bufferResponse(e)
	if err != nil {
		return err
	}
	return d.relayResponse(b)
}
