// Package modelserver is a stand-in for a backend server of the users' platform. It runs plain requests and streams, records
// what it ran, and fails on command. It is meant for tests and demonstrations.
package modelserver

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/standin/common"
)

// Fault is what the server does to requests.
type Fault string

// Faults.
const (
	FaultNone Fault = ""
	// FaultFull refuses each request without running it.
	FaultFull Fault = "full"
	// FaultError runs the request and answers with a failure.
	FaultError Fault = "error"
	// FaultLost runs the request and closes the connection without an answer.
	FaultLost Fault = "lost"
	// FaultBreak closes the connection in the middle of the answer, in a stream in the middle of an event.
	FaultBreak Fault = "break"
	// FaultForeign answers with another request's identifier.
	FaultForeign Fault = "foreign"
	// FaultUnsealed leaves out the seal.
	FaultUnsealed Fault = "unsealed"
	// FaultMute runs the request and answers nothing until the caller leaves.
	FaultMute Fault = "mute"
)

// Options of a Server.
type Options struct {
	ID string
	// Events is the length of a stream.
	Events int
	// Pause is the time between two events, and the time of a plain answer.
	Pause time.Duration
	// Confidence by model; models without one answer without the header.
	Confidence map[string]int
}

// Run is one request that the server ran.
type Run struct {
	ID     string
	Method string
	Target string
	Body   string
	Header http.Header
	// Left is set if the caller closed the connection before the end.
	Left bool
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	options Options

	mu    *lockorder.Mutex
	fault Fault
	times int
	runs  []Run
}

// New returns a server without faults.
func New(options Options) *Server {
	return &Server{options: options, mu: lockorder.New(lockorder.RankStandin)}
}

// Fail applies the fault to the next requests, as many as given; a negative number means all.
func (s *Server) Fail(fault Fault, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.times = fault, times
}

// Runs returns a copy of what the server ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Server) next() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == 0 {
		return FaultNone
	}
	s.times--
	return s.fault
}

// begin records a run and returns its place.
func (s *Server) begin(r *http.Request, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{
		ID: r.Header.Get("Cicadawall-Request-Id"), Method: r.Method, Target: r.RequestURI, Body: string(body), Header: r.Header.Clone(),
	})
	return len(s.runs) - 1
}

func (s *Server) left(run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[run].Left = true
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		common.CloseConnection()
	}
	header := w.Header()
	header.Set("Cicadawall-Request-Id", r.Header.Get("Cicadawall-Request-Id"))
	header.Set("Cicadawall-Instance-Id", s.options.ID)
	if expected := r.Header.Get("Cicadawall-Expected-Instance"); expected != "" && expected != s.options.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := s.next()
	if fault == FaultFull {
		header.Set("Cicadawall-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := s.begin(r, body)
	switch fault {
	case FaultLost:
		common.CloseConnection()
	case FaultMute:
		<-r.Context().Done()
		s.left(run)
		common.CloseConnection()
	case FaultForeign:
		header.Set("Cicadawall-Request-Id", "another")
	case FaultNone, FaultFull, FaultError, FaultBreak, FaultUnsealed:
	}
	if fault != FaultUnsealed {
		header.Set("Cicadawall-Response-Seal", "seal-of-"+s.options.ID)
	}
	if fault == FaultError {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if model := r.Header.Get("Cicadawall-Model"); model != "" {
		s.stream(w, r, run, model, fault)
		return
	}
	s.plain(w, r, run, fault)
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request, run int, fault Fault) {
	common.Wait(r.Context(), s.options.Pause)
	if r.Context().Err() != nil {
		s.left(run)
		return
	}
	answer := "answer to " + r.Header.Get("Cicadawall-Request-Id")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if fault == FaultBreak {
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
	if fault == FaultBreak {
		common.CloseConnection()
	}
}

// stream sends the events after the one that the caller names.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, run int, model string, fault Fault) {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	if confidence, ok := s.options.Confidence[model]; ok {
		header.Set("Cicadawall-Confidence", strconv.Itoa(confidence))
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	control := http.NewResponseController(w)
	for event := first; event <= s.options.Events; event++ {
		common.Wait(r.Context(), s.options.Pause)
		if r.Context().Err() != nil {
			s.left(run)
			return
		}
		text := fmt.Sprintf("id: %d\ndata: %s %s\n\n", event, model, r.Header.Get("Cicadawall-Request-Id"))
		if fault == FaultBreak && event > first {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = control.Flush()
			common.CloseConnection()
		}
		_, _ = io.WriteString(w, text)
		// A caller that left is noticed by its context.
		_ = control.Flush()
	}
}
