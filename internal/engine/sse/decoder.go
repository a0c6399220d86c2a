// Package sse decodes server-sent events from a byte stream and bounds the size of lines and events. It does not depend on
// HTTP.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxLineBytes bounds one line. A chunk of an answer with logprobs takes about 1 KB.
	maxLineBytes = 64 << 10
	// maxEventBytes bounds the data of one event, which may span several lines.
	maxEventBytes = 128 << 10
	bufferBytes   = 4 << 10
)

// ErrTooLarge means that a line or an event exceeds its size bound. Decoding cannot continue after it.
var ErrTooLarge = errors.New("line or data of a server-sent event exceeds the size limit")

var byteOrderMark = []byte("\xef\xbb\xbf")

// Event is one event that has data.
type Event struct {
	// ID is the id field of this event. Unlike in browsers, it does not carry over from earlier events.
	ID string
	// Data holds the data lines joined by newlines.
	Data []byte
}

// Decoder reads events from a byte stream. It is not safe for concurrent use.
type Decoder struct {
	reader        *bufio.Reader
	firstLineRead bool
	// skipLF is set after a line that ended with a carriage return; a line feed that follows is part of the same line ending.
	skipLF bool
	line   []byte
}

// NewDecoder returns a decoder that reads from the reader.
func NewDecoder(reader io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(reader, bufferBytes)}
}

// Next returns the next event that has data. Its error is io.EOF at the end of the stream, ErrTooLarge, or the reader's error.
// An event without the terminating empty line is discarded.
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

// splitField splits a line at the first colon and drops one space after it. A comment line has an empty name.
func splitField(line []byte) (name string, value []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	return string(field), bytes.TrimPrefix(value, []byte(" "))
}

// readLine returns the next line without its line ending, which is a line feed, a carriage return or both. The slice is valid
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
		segment := buffered
		if end >= 0 {
			segment = buffered[:end]
		}
		if len(d.line)+len(segment) > maxLineBytes {
			return nil, ErrTooLarge
		}
		d.line = append(d.line, segment...)
		if end < 0 {
			_, _ = d.reader.Discard(len(segment))
			continue
		}
		d.skipLF = buffered[end] == '\r'
		_, _ = d.reader.Discard(end + 1)
		return d.stripByteOrderMark(), nil
	}
}

// stripByteOrderMark returns the current line, without a byte order mark if it is the first line of the stream.
func (d *Decoder) stripByteOrderMark() []byte {
	if d.firstLineRead {
		return d.line
	}
	d.firstLineRead = true
	return bytes.TrimPrefix(d.line, byteOrderMark)
}
