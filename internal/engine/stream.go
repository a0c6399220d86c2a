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
	streamOperation = "stream"
	// endMarker is the data of the last event of a stream.
	endMarker = "[DONE]"
	// maxDrainBytes and drainTimeout bound the reading of the rest of the body after the end marker, which lets the connection
	// be reused.
	maxDrainBytes = 4 << 10
	drainTimeout  = 20 * time.Millisecond
)

// ErrStalled is the cause of the error when no chunk arrived within the stall timeout.
var ErrStalled = errors.New("no chunk arrived within the stall timeout")

// Stream reads the response to a streamed completion. It is not safe for concurrent use.
type Stream struct {
	address      string
	response     *http.Response
	decoder      *sse.Decoder
	load         *LoadReport
	ctx          context.Context
	cancel       context.CancelCauseFunc
	stallTimeout time.Duration
	watchdog     *time.Timer
	// endMarkerRead is true once the end marker has been read.
	endMarkerRead bool
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, address string, request Request, response *http.Response) *Stream {
	return &Stream{
		address:      address,
		response:     response,
		decoder:      sse.NewDecoder(response.Body),
		load:         parseLoadHeader(response.Header, time.Now()),
		ctx:          ctx,
		cancel:       cancel,
		stallTimeout: request.StallTimeout,
	}
}

// Load returns the load report from the response header, or nil.
func (s *Stream) Load() *LoadReport { return s.load }

// Next returns the next chunk in order of arrival, which may differ from the order of the answer. At the end of the response,
// with or without an end marker, it returns io.EOF; any other error is an *Error.
func (s *Stream) Next() (stream.Chunk, error) {
	s.startWatchdog()
	event, err := s.decoder.Next()
	s.stopWatchdog()
	if errors.Is(err, io.EOF) {
		return stream.Chunk{}, io.EOF
	}
	if err != nil {
		return stream.Chunk{}, s.streamError(err)
	}
	chunk, err := decodeChunk(event)
	if err != nil {
		return stream.Chunk{}, s.streamError(err)
	}
	s.endMarkerRead = s.endMarkerRead || chunk.End
	return chunk, nil
}

// startWatchdog cancels the request's context, which ends the read, if it is not stopped within the stall timeout.
func (s *Stream) startWatchdog() {
	if s.stallTimeout <= 0 {
		return
	}
	if s.watchdog == nil {
		s.watchdog = time.AfterFunc(s.stallTimeout, func() { s.cancel(ErrStalled) })
		return
	}
	s.watchdog.Reset(s.stallTimeout)
}

func (s *Stream) stopWatchdog() {
	if s.watchdog != nil {
		s.watchdog.Stop()
	}
}

func (s *Stream) streamError(err error) *Error {
	kind := KindInterrupted
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	if errors.Is(err, sse.ErrTooLarge) || errors.As(err, &syntax) || errors.As(err, &mismatch) {
		kind = KindMalformed
	}
	if errors.Is(context.Cause(s.ctx), ErrStalled) {
		err = ErrStalled
	}
	failure := &Error{Kind: kind, Operation: streamOperation, Address: s.address, Status: s.response.StatusCode, Load: s.load, Cause: err}
	var reported *streamFailure
	if errors.As(err, &reported) {
		failure.Kind = KindFailed
		failure.Code = reported.code
		failure.Message = reported.message
	}
	return failure
}

// Close releases the stream. If the end marker has not been read, the connection is closed and the engine cancels the
// completion.
func (s *Stream) Close() {
	s.stopWatchdog()
	if s.endMarkerRead {
		s.drainBody()
	}
	s.cancel(nil)
	_ = s.response.Body.Close()
}

// drainBody reads what follows the end marker, normally only the end of the body. The connection is reused only if the body
// was read to its end.
func (s *Stream) drainBody() {
	timer := time.AfterFunc(drainTimeout, func() { s.cancel(nil) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.response.Body, maxDrainBytes)
}

// decodeChunk decodes the data of one event. An id that is not a number is treated as missing.
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

// streamData is the decoded data of an event: a chunk, or an error that ends the stream.
type streamData struct {
	api.ChatCompletionChunk
	Error *api.ErrorDetail `json:"error"`
}

// streamFailure is an error that the engine reports inside a stream.
type streamFailure struct{ code, message string }

func (f *streamFailure) Error() string { return f.code + ": " + f.message }
