// Package sse decodes server-sent events from a byte stream with bounds on line and event size. It knows nothing of HTTP.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxLineBytes bounds one line. A chunk of an answer with logprobs has about 1 KB.
	maxLineBytes = 64 << 10
	// maxEventBytes bounds the data of one event, which may have several lines.
	maxEventBytes = 128 << 10
	readBytes     = 4 << 10
)

// ErrTooLarge means that a line or an event exceeds its bound. The stream cannot be read further.
var ErrTooLarge = errors.New("server-sent event is too large")

var byteOrderMark = []byte("\xef\xbb\xbf")

// Event is one event that has data.
type Event struct {
	// ID is the id field of this event; unlike in browsers it is not carried over from earlier events.
	ID string
	// Data holds the data lines joined by newlines.
	Data []byte
}

// Decoder reads events. It is not safe for concurrent use.
type Decoder struct {
	reader  *bufio.Reader
	started bool
	// skipLF is set after a line that ended with a carriage return; a line feed that follows belongs to the same end.
	skipLF bool
	line   []byte
}

// NewDecoder returns a decoder.
func NewDecoder(reader io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(reader, readBytes)}
}

// Next returns the next event. It returns io.EOF at the end of the stream, ErrTooLarge, or the reader's error. An event
// without the empty line at its end is discarded.
func (d *Decoder) Next() (Event, error) {
	var event Event
	hasData := false
	for {
		line, err := d.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if hasData {
				return event, nil
			}
			event = Event{}
			continue
		}
		name, value := splitField(line)
		switch name {
		case "id":
			event.ID = string(value)
		case "data":
			if hasData {
				event.Data = append(event.Data, '\n')
			}
			hasData = true
			event.Data = append(event.Data, value...)
			if len(event.Data) > maxEventBytes {
				return Event{}, ErrTooLarge
			}
		}
	}
}

// splitField splits a line at the first colon; a space after it is not part of the value. Comments have an empty name.
func splitField(line []byte) (name string, value []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	return string(field), bytes.TrimPrefix(value, []byte(" "))
}

// readLine returns the next line without its end, which is a line feed, a carriage return or both. The slice is valid
// until the next call.
func (d *Decoder) readLine() ([]byte, error) {
	d.line = d.line[:0]
	for {
		if _, err := d.reader.Peek(1); err != nil {
			return nil, err
		}
		buffered, _ := d.reader.Peek(d.reader.Buffered())
		if d.skipLF {
			d.skipLF = false
			if buffered[0] == '\n' {
				_, _ = d.reader.Discard(1)
				continue
			}
		}
		end := bytes.IndexAny(buffered, "\r\n")
		part := buffered
		if end >= 0 {
			part = buffered[:end]
		}
		if len(d.line)+len(part) > maxLineBytes {
			return nil, ErrTooLarge
		}
		d.line = append(d.line, part...)
		if end < 0 {
			_, _ = d.reader.Discard(len(part))
			continue
		}
		d.skipLF = buffered[end] == '\r'
		_, _ = d.reader.Discard(end + 1)
		return d.endLine(), nil
	}
}

// endLine removes a byte order mark from the first line of the stream.
func (d *Decoder) endLine() []byte {
	if d.started {
		return d.line
	}
	d.started = true
	return bytes.TrimPrefix(d.line, byteOrderMark)
}
