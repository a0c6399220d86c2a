// Package modelserver is a stand-in for a backend server of the users' platform. It executes plain requests and streams,
// records the requests that it executed, and simulates faults. It is meant for tests and demonstrations.
package modelserver

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/standin/common"
	"github.com/cicadawall/cicadawall/internal/standin/retrycheck"
)

// Fault is a failure that the server simulates.
type Fault string

// Faults.
const (
	FaultNone Fault = ""
	// FaultFull rejects the request without executing it.
	FaultFull Fault = "full"
	// FaultError executes the request and answers with status 500.
	FaultError Fault = "error"
	// FaultLost executes the request and closes the connection without an answer.
	FaultLost Fault = "lost"
	// FaultBreak closes the connection in the middle of the answer; in a stream, in the middle of the second event.
	FaultBreak Fault = "break"
	// FaultForeign answers with the id of another request.
	FaultForeign Fault = "foreign"
	// FaultUnsealed answers without the response seal header.
	FaultUnsealed Fault = "unsealed"
	// FaultBackoff rejects the request without executing it and asks to get no requests for Backoff.
	FaultBackoff Fault = "backoff"
	// FaultCrash sends the head of the answer and closes the connection before the first event, as a server does that ends when it
	// begins to write.
	FaultCrash Fault = "crash"
	// FaultMute executes the request and sends no answer until the caller closes the connection.
	FaultMute Fault = "mute"
	// FaultSwitch executes the request, answers with status 101, and sends nothing more until the caller closes the connection.
	FaultSwitch Fault = "switch"
)

// Options configure a Server.
type Options struct {
	// ID is the instance id that the server sends with each answer.
	ID string
	// EventCount is the number of events in a stream.
	EventCount int
	// Delay is the time before each event of a stream and before a plain answer.
	Delay time.Duration
	// Confidence maps a model to the value of its confidence header; answers of other models lack the header.
	Confidence map[string]int
	// Backoff is the time for which FaultBackoff asks.
	Backoff time.Duration
	// CrashingPart, if not empty, is a part of a prompt on which the server behaves as with FaultCrash.
	CrashingPart string
	// RestartTime is how long the server closes each connection without an answer after such a crash.
	RestartTime time.Duration
}

// Execution is one request that the server executed.
type Execution struct {
	ID     string
	Method string
	Target string
	Body   string
	Header http.Header
	// CallerDisconnected is set if the caller closed the connection before the answer was complete.
	CallerDisconnected bool
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	options Options

	mu    *lockorder.Mutex
	fault Fault
	// faultsLeft is the number of requests to which the fault still applies; a negative number means all.
	faultsLeft int
	executions []Execution
	// leaving makes all answers say that the server leaves.
	leaving bool
	// arrivals are the requests that reached the server, executed or not.
	arrivals []retrycheck.Arrival
	// downUntil is when the server is back after a crash.
	downUntil time.Time
}

// New returns a server without faults.
func New(options Options) *Server {
	return &Server{options: options, mu: lockorder.New(lockorder.RankStandin)}
}

// SetFault applies the fault to the next count requests, or to all requests if count is negative.
func (s *Server) SetFault(fault Fault, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultsLeft = fault, count
}

// Leave makes all further answers say that the server leaves.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Arrivals returns a copy of the requests that reached the server, executed or not, in their order.
func (s *Server) Arrivals() []retrycheck.Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]retrycheck.Arrival(nil), s.arrivals...)
}

// arrive records a request and reports whether the server leaves.
func (s *Server) arrive(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, retrycheck.Arrival{ID: id, At: time.Now()})
	return s.leaving
}

// isDown reports whether the server restarts after a crash.
func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

func (s *Server) goDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(s.options.RestartTime)
}

// Executions returns a copy of the requests that the server executed, in the order in which they arrived.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

func (s *Server) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultsLeft == 0 {
		return FaultNone
	}
	s.faultsLeft--
	return s.fault
}

// recordExecution records a request as executed and returns its index in executions.
func (s *Server) recordExecution(r *http.Request, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, Execution{
		ID: r.Header.Get("Cicadawall-Request-Id"), Method: r.Method, Target: r.RequestURI, Body: string(body), Header: r.Header.Clone(),
	})
	return len(s.executions) - 1
}

func (s *Server) recordDisconnect(execution int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[execution].CallerDisconnected = true
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
	if s.isDown() {
		common.CloseConnection()
	}
	if s.arrive(r.Header.Get("Cicadawall-Request-Id")) {
		header.Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("Cicadawall-Expected-Instance"); expected != "" && expected != s.options.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := s.nextFault()
	if s.options.CrashingPart != "" && strings.Contains(r.Header.Get("Cicadawall-Prompt-Prefix"), s.options.CrashingPart+":") {
		fault = FaultCrash
		s.goDown()
	}
	if fault == FaultBackoff {
		header.Set("Retry-After", strconv.FormatFloat(s.options.Backoff.Seconds(), 'f', 3, 64))
	}
	if fault == FaultFull || fault == FaultBackoff {
		header.Set("Cicadawall-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	execution := s.recordExecution(r, body)
	switch fault {
	case FaultLost:
		common.CloseConnection()
	case FaultMute:
		<-r.Context().Done()
		s.recordDisconnect(execution)
		common.CloseConnection()
	case FaultSwitch:
		w.WriteHeader(http.StatusSwitchingProtocols)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		s.recordDisconnect(execution)
		common.CloseConnection()
	case FaultForeign:
		header.Set("Cicadawall-Request-Id", "another")
	case FaultNone, FaultFull, FaultBackoff, FaultError, FaultBreak, FaultCrash, FaultUnsealed:
	}
	if fault != FaultUnsealed {
		header.Set("Cicadawall-Response-Seal", "seal-of-"+s.options.ID)
	}
	if fault == FaultError {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if model := r.Header.Get("Cicadawall-Model"); model != "" {
		s.answerStream(w, r, execution, model, fault)
		return
	}
	s.answerPlain(w, r, execution, fault)
}

func (s *Server) answerPlain(w http.ResponseWriter, r *http.Request, execution int, fault Fault) {
	common.Sleep(r.Context(), s.options.Delay)
	if r.Context().Err() != nil {
		s.recordDisconnect(execution)
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

// answerStream sends the events after the one that the header Last-Event-Id names.
func (s *Server) answerStream(w http.ResponseWriter, r *http.Request, execution int, model string, fault Fault) {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	if confidence, ok := s.options.Confidence[model]; ok {
		header.Set("Cicadawall-Confidence", strconv.Itoa(confidence))
	}
	firstEvent := 1
	if lastEvent, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		firstEvent = lastEvent + 1
	}
	controller := http.NewResponseController(w)
	if fault == FaultCrash {
		w.WriteHeader(http.StatusOK)
		_ = controller.Flush()
		common.CloseConnection()
	}
	for event := firstEvent; event <= s.options.EventCount; event++ {
		common.Sleep(r.Context(), s.options.Delay)
		if r.Context().Err() != nil {
			s.recordDisconnect(execution)
			return
		}
		text := fmt.Sprintf("id: %d\ndata: %s %s\n\n", event, model, r.Header.Get("Cicadawall-Request-Id"))
		if fault == FaultBreak && event > firstEvent {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = controller.Flush()
			common.CloseConnection()
		}
		_, _ = io.WriteString(w, text)
		// A failed flush is ignored: the request's context tells that the caller closed the connection.
		_ = controller.Flush()
	}
}
