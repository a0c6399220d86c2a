package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

func decodeAll(reader io.Reader) ([]Event, error) {
	decoder := NewDecoder(reader)
	var events []Event
	for {
		event, err := decoder.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

// Guards against wrong decoding of line endings, comments, multi-line data and ids, and against events that are returned
// without their terminating empty line.
func TestDecode(t *testing.T) {
	tests := []struct {
		name, input string
		want        []Event
	}{
		{"id and data", "id: 1\ndata: a\n\n", []Event{{ID: "1", Data: []byte("a")}}},
		{"no space, other line ends", "id:1\r\ndata:a\r\rdata:b\n\r\n", []Event{{ID: "1", Data: []byte("a")}, {Data: []byte("b")}}},
		{"lines joined", "data: a\ndata:  b\ndata\n\n", []Event{{Data: []byte("a\n b\n")}}},
		{"comment, unknown field, byte order mark", "\xef\xbb\xbf: ping\nretry: 5\nevent: x\ndata: a\n\n", []Event{{Data: []byte("a")}}},
		{"event without data", "id: 1\n\ndata: a\n\n", []Event{{Data: []byte("a")}}},
		{"cut before the empty line", "data: a\n\ndata: b\n", []Event{{Data: []byte("a")}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			events, err := decodeAll(strings.NewReader(test.input))
			if !errors.Is(err, io.EOF) || !cmp.Equal(events, test.want) {
				t.Errorf("events %q, error %v, want %q", events, err, test.want)
			}
		})
	}
}

// Guards against a backend server that makes the router buffer a line or an event of unlimited size.
func TestBounds(t *testing.T) {
	line := strings.Repeat("a", maxLineBytes-len("data: ")-1)
	for name, input := range map[string]string{
		"line": "data: " + line + "aa", "event": strings.Repeat("data: "+line+"\n", 3) + "\n",
	} {
		if _, err := decodeAll(strings.NewReader(input)); !errors.Is(err, ErrTooLarge) {
			t.Errorf("%s: error %v, want ErrTooLarge", name, err)
		}
	}
}

// Guards against results that depend on how the bytes are split into reads, events beyond the size bound, and events that
// change when they are encoded and decoded again.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"a\":1}\n\nid: 2\ndata: [DONE]\n\n"))
	f.Add([]byte("\xef\xbb\xbfdata: a\r\ndata: b\r\r: c\n\ndata"))
	f.Add([]byte("id:x\nid\ndata:\n\ndata: \n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		events, err := decodeAll(bytes.NewReader(input))
		single, singleErr := decodeAll(iotest.OneByteReader(bytes.NewReader(input)))
		if !cmp.Equal(events, single) || !errors.Is(singleErr, err) {
			t.Fatalf("whole: %q %v, byte by byte: %q %v", events, err, single, singleErr)
		}
		var encoded bytes.Buffer
		for _, event := range events {
			if len(event.Data) > maxEventBytes {
				t.Fatalf("event of %d bytes", len(event.Data))
			}
			encoded.WriteString("id: " + event.ID + "\ndata: " + strings.ReplaceAll(string(event.Data), "\n", "\ndata: ") + "\n\n")
		}
		again, _ := decodeAll(&encoded)
		if !cmp.Equal(events, again) {
			t.Fatalf("events %q were encoded and decoded as %q", events, again)
		}
	})
}
