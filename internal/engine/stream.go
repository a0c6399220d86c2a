package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/engine/sse"
	"github.com/cicadawall/cicadawall/internal/engine/stream"
)

const (
	streamStep = "stream"
	// endMarker is the data of the last event of a stream.
	endMarker = "[DONE]"
	// maxRestBytes and restTimeout bound what is read after the end marker to use the connection again.
	maxRestBytes = 4 << 10
	restTimeout  = 20 * time.Millisecond
)

// ErrStalled is the cause of a stream that was silent for longer than its stall timeout.
var ErrStalled = errors.New("stream was silent for too long")

// Stream is the response to a streamed completion. It is not safe for concurrent use.
type Stream struct {
	peer     string
	response *http.Response
	decoder  *sse.Decoder
	load     *LoadReport
	ctx      context.Context
	cancel   context.CancelCauseFunc
	stall    time.Duration
	watchdog *time.Timer
	// ended is true once the end marker was read.
	ended bool
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, peer string, request Request, response *http.Response) *Stream {
	return &Stream{
		peer:     peer,
		response: response,
		decoder:  sse.NewDecoder(response.Body),
		load:     readLoad(response.Header, time.Now()),
		ctx:      ctx,
		cancel:   cancel,
		stall:    request.StallTimeout,
	}
}

// Load returns the load report that came with the start of the response, or nil.
func (s *Stream) Load() *LoadReport { return s.load }

// Next returns the next chunk as it arrived, in no certain order. At the end of the response, with or without an end
// marker, it returns io.EOF; other errors are an *Error.
func (s *Stream) Next() (stream.Chunk, error) {
	s.watch()
	event, err := s.decoder.Next()
	s.unwatch()
	if errors.Is(err, io.EOF) {
		return stream.Chunk{}, io.EOF
	}
	if err != nil {
		return stream.Chunk{}, s.fail(err)
	}
	chunk, err := decodeChunk(event)
	if err != nil {
		return stream.Chunk{}, s.fail(err)
	}
	s.ended = s.ended || chunk.End
	return chunk, nil
}

// watch ends the stream if it stays silent. The request's context is cancelled, which ends the read.
func (s *Stream) watch() {
	if s.stall <= 0 {
		return
	}
	if s.watchdog == nil {
		s.watchdog = time.AfterFunc(s.stall, func() { s.cancel(ErrStalled) })
		return
	}
	s.watchdog.Reset(s.stall)
}

func (s *Stream) unwatch() {
	if s.watchdog != nil {
		s.watchdog.Stop()
	}
}

func (s *Stream) fail(err error) *Error {
	kind := KindCut
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	if errors.Is(err, sse.ErrTooLarge) || errors.As(err, &syntax) || errors.As(err, &mismatch) {
		kind = KindMalformed
	}
	if errors.Is(context.Cause(s.ctx), ErrStalled) {
		err = ErrStalled
	}
	failed := &Error{Kind: kind, Step: streamStep, Peer: s.peer, Status: s.response.StatusCode, Load: s.load, Cause: err}
	var reported *streamFailure
	if errors.As(err, &reported) {
		failed.Kind = KindFailed
		failed.Code = reported.code
		failed.Message = reported.message
	}
	return failed
}

// Close ends the stream. If it has not ended by itself, its connection is closed and the engine cancels the completion.
func (s *Stream) Close() {
	s.unwatch()
	if s.ended {
		s.readRest()
	}
	s.cancel(nil)
	_ = s.response.Body.Close()
}

// readRest reads what follows the end marker, normally only the end of the body. A body that was read to its end leaves the
// connection to the next request.
func (s *Stream) readRest() {
	timer := time.AfterFunc(restTimeout, func() { s.cancel(nil) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.response.Body, maxRestBytes)
}

// decodeChunk reads one event. An id that is not a number counts as none.
func decodeChunk(event sse.Event) (stream.Chunk, error) {
	sequence, err := strconv.ParseInt(event.ID, 10, 64)
	if err != nil {
		sequence = 0
	}
	if string(event.Data) == endMarker {
		return stream.Chunk{Sequence: sequence, End: true}, nil
	}
	var data streamData
	if err := json.Unmarshal(event.Data, &data); err != nil {
		return stream.Chunk{}, err
	}
	if data.Error != nil {
		return stream.Chunk{}, &streamFailure{code: data.Error.Code, message: data.Error.Message}
	}
	return stream.Chunk{CompletionID: data.Id, Sequence: sequence, Body: data.ChatCompletionChunk}, nil
}

// streamData is the data of an event: a chunk, or an error that ends the stream.
type streamData struct {
	api.ChatCompletionChunk
	Error *api.ErrorDetail `json:"error"`
}

// streamFailure is an error that the engine reports inside a stream.
type streamFailure struct{ code, message string }

func (f *streamFailure) Error() string { return f.code + ": " + f.message }
