// Package slugstream reads the events of an engine's answer and checks that each
// belongs to the request and follows the one before.
//
// # Usage
//
//	s := slugstream.New(resp.Body, requestID, 0)
//	for {
//		e, err := s.Next()
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
)

// Errors of a stream. After each of them the connection is not used again.
var (
	// ErrCrossed says that an event of another request came.
	ErrCrossed = errors.New("event of another request")
	// ErrGap says that an event is missing.
	ErrGap = errors.New("event is missing")
	// ErrTruncated says that the stream ended without its terminal event.
	ErrTruncated = errors.New("stream ended without its terminal event")
	// ErrTooLong says that an event is longer than MaxEventBytes.
	ErrTooLong = errors.New("event is too long")
)

const (
	// bufferBytes is the size of the read buffer.
	bufferBytes = 16 << 10
	// MaxEventBytes bounds one event.
	MaxEventBytes = 1 << 20
)

// Event is one event of an answer.
type Event struct {
	// Sequence numbers the events of a stream from 1.
	Sequence int
	// Data is the payload. It is valid until the next call of Next.
	Data []byte
	// Done marks the terminal event.
	Done bool
}

// Reader reads the events of one stream.
type Reader struct {
	r       *bufio.Reader
	request []byte
	last    int
	data    []byte
	long    []byte
	// duplicates is the number of events that were dropped.
	duplicates int
}

var (
	idField   = []byte("id: ")
	dataField = []byte("data: ")
	terminal  = []byte("[DONE]")
)

// New returns a Reader of the events after a sequence number.
func New(r io.Reader, request string, after int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferBytes), request: []byte(request), last: after}
}

// Last returns the sequence number of the last event that was returned.
func (s *Reader) Last() int { return s.last }

// Duplicates returns the number of events that were dropped because they had
// come before.
func (s *Reader) Duplicates() int { return s.duplicates }

// Buffered reports whether more of the stream is in memory already.
func (s *Reader) Buffered() bool { return s.r.Buffered() > 0 }

// Next returns the next event.
func (s *Reader) Next() (Event, error) {
	for {
		sequence, err := s.read()
		if err != nil {
			return Event{}, err
		}
		switch {
		case sequence <= s.last:
			s.duplicates++
		case sequence > s.last+1:
			return Event{}, errors.Wrapf(ErrGap, "event %d after %d", sequence, s.last)
		default:
			s.last = sequence
			return Event{Sequence: sequence, Data: s.data, Done: bytes.Equal(s.data, terminal)}, nil
		}
	}
}

// read reads one event into s.data and returns its sequence number.
func (s *Reader) read() (int, error) {
	sequence := 0
	s.data = s.data[:0]
	for {
		line, err := s.line()
		if err != nil {
			return 0, err
		}
		switch {
		case len(line) == 0:
			if sequence > 0 {
				return sequence, nil
			}
		case bytes.HasPrefix(line, idField):
			if sequence, err = s.parseID(line[len(idField):]); err != nil {
				return 0, err
			}
		case bytes.HasPrefix(line, dataField):
			if len(s.data)+len(line) > MaxEventBytes {
				return 0, ErrTooLong
			}
			s.data = append(s.data, line[len(dataField):]...)
		}
	}
}

// line returns the next line without its end.
func (s *Reader) line() ([]byte, error) {
	line, err := s.r.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	s.long = s.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		s.long = append(s.long, line...)
		if len(s.long) > MaxEventBytes {
			return nil, ErrTooLong
		}
		line, err = s.r.ReadSlice('\n')
	}
	if errors.Is(err, io.EOF) {
		return nil, ErrTruncated
	}
	if err != nil {
		return nil, err
	}
	s.long = append(s.long, line...)
	return bytes.TrimRight(s.long, "\r\n"), nil
}

// parseID checks the request in an id and returns the sequence number.
func (s *Reader) parseID(id []byte) (int, error) {
	rest, ok := bytes.CutPrefix(id, s.request)
	if !ok || len(rest) < 2 || rest[0] != ':' {
		return 0, errors.Wrapf(ErrCrossed, "id %q", id)
	}
	n := 0
	for _, c := range rest[1:] {
		if c < '0' || c > '9' || n > 1<<40 {
			return 0, errors.Wrapf(ErrCrossed, "id %s", strconv.Quote(string(id)))
		}
		n = n*10 + int(c-'0')
	}
	return n, nil
}
