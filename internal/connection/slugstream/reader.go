// Package slugstream reads the server-sent events of an engine's response. It checks
// that each event belongs to the request and that the sequence numbers have no gaps,
// and drops duplicates.
//
// # Usage
//
//	r := slugstream.New(resp.Body, requestID, 0, hold)
//	for {
//		e, err := r.Next()
//		if err != nil || e.Done {
//			break
//		}
//		w.Write(e.Data)
//	}
package slugstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
)

// Errors of a stream. The connection must not be reused after any of them.
var (
	// ErrWrongRequest means that an event carries the id of another request, or a malformed
	// id.
	ErrWrongRequest = errors.New("event belongs to another request")
	// ErrGap means that the sequence number of an event is not the next one.
	ErrGap = errors.New("event is missing")
	// ErrTruncated means that the stream ended before its terminal event.
	ErrTruncated = errors.New("stream ended without its terminal event")
	// ErrTooLong means that an event is longer than MaxEventBytes.
	ErrTooLong = errors.New("event is too long")
)

const (
	// bufferBytes is the size of the read buffer.
	bufferBytes = 16 << 10
	// MaxEventBytes limits the size of one event.
	MaxEventBytes = 1 << 20
)

// Event is one event of a response.
type Event struct {
	// Sequence is the event's number in the stream, starting at 1.
	Sequence int
	// Data is the payload. It is valid until the next call to Next.
	Data []byte
	// Done marks the terminal event.
	Done bool
}

// Reader reads the events of one stream.
type Reader struct {
	input        *bufio.Reader
	requestID    []byte
	lastSequence int
	data         []byte
	// longLine holds a line that is longer than the read buffer.
	longLine   []byte
	duplicates int
	hold       *slugmemory.Hold
}

var (
	idField      = []byte("id: ")
	dataField    = []byte("data: ")
	terminalData = []byte("[DONE]")
	lineBreak    = []byte("\n")
)

// New returns a Reader for the response to requestID. Next returns the events with higher
// sequence numbers than after, which is 0 for a new stream. hold is the memory for events that
// are not complete; the caller releases it.
func New(r io.Reader, requestID string, after int, hold *slugmemory.Hold) *Reader {
	return &Reader{input: bufio.NewReaderSize(r, bufferBytes), requestID: []byte(requestID), lastSequence: after, hold: hold}
}

// Last returns the sequence number of the last event that Next returned.
func (r *Reader) Last() int { return r.lastSequence }

// Duplicates returns the number of events that were dropped because their sequence
// number was not new.
func (r *Reader) Duplicates() int { return r.duplicates }

// Buffered reports whether Next can read more data without waiting for the connection.
func (r *Reader) Buffered() bool { return r.input.Buffered() > 0 }

// Next returns the next event.
func (r *Reader) Next() (Event, error) {
	for {
		sequence, err := r.readEvent()
		if err != nil {
			return Event{}, err
		}
		switch {
		case sequence <= r.lastSequence:
			r.duplicates++
		case sequence > r.lastSequence+1:
			return Event{}, errors.Wrapf(ErrGap, "event %d after %d", sequence, r.lastSequence)
		default:
			r.lastSequence = sequence
			return Event{Sequence: sequence, Data: r.data, Done: bytes.Equal(r.data, terminalData)}, nil
		}
	}
}

// readEvent reads one event into r.data and returns its sequence number. It skips events
// without an id, which cannot be ascribed to the request.
func (r *Reader) readEvent() (int, error) {
	sequence, lines := 0, 0
	r.data = r.data[:0]
	for {
		line, err := r.readLine()
		if err != nil {
			return 0, err
		}
		switch {
		case len(line) == 0:
			if sequence > 0 {
				return sequence, nil
			}
			lines, r.data = 0, r.data[:0]
		case bytes.HasPrefix(line, idField):
			if sequence, err = r.parseID(line[len(idField):]); err != nil {
				return 0, err
			}
		case bytes.HasPrefix(line, dataField):
			if len(r.data)+len(line) > MaxEventBytes {
				return 0, ErrTooLong
			}
			if lines++; lines > 1 {
				if r.data, err = r.hold.Append(r.data, lineBreak); err != nil {
					return 0, err
				}
			}
			if r.data, err = r.hold.Append(r.data, line[len(dataField):]); err != nil {
				return 0, err
			}
		}
	}
}

// readLine returns the next line without its line ending. The result is valid until the
// next read.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.input.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	r.longLine = r.longLine[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		var grown error
		if r.longLine, grown = r.hold.Append(r.longLine, line); grown != nil {
			return nil, grown
		}
		if len(r.longLine) > MaxEventBytes {
			return nil, ErrTooLong
		}
		line, err = r.input.ReadSlice('\n')
	}
	if errors.Is(err, io.EOF) {
		return nil, ErrTruncated
	}
	if err != nil {
		return nil, err
	}
	if r.longLine, err = r.hold.Append(r.longLine, line); err != nil {
		return nil, err
	}
	return bytes.TrimRight(r.longLine, "\r\n"), nil
}

// parseID parses an event id of the form "request:sequence", checks the request and
// returns the sequence number.
func (r *Reader) parseID(id []byte) (int, error) {
	rest, ok := bytes.CutPrefix(id, r.requestID)
	if !ok || len(rest) < 2 || rest[0] != ':' {
		return 0, errors.Wrapf(ErrWrongRequest, "id %q", id)
	}
	n := 0
	for _, c := range rest[1:] {
		// The limit prevents an overflow of n.
		if c < '0' || c > '9' || n > 1<<40 {
			return 0, errors.Wrapf(ErrWrongRequest, "id %s", strconv.Quote(string(id)))
		}
		n = n*10 + int(c-'0')
	}
	return n, nil
}
