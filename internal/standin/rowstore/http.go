package rowstore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cicadawall/cicadawall/internal/standin/common"
	"github.com/cicadawall/cicadawall/platform/wire"
)

const (
	// lateTransactionDelay is the time between closing the caller's connection and applying the transaction under FaultLate.
	lateTransactionDelay = 300 * time.Millisecond
	// maxValueBytes limits the value of a row that is written through the path below /standin/v1.
	maxValueBytes = 1 << 20
	// maxTransactionBytes limits the body of a transaction: the platform's limit is 1 MB; the rest is for base64 and field
	// names.
	maxTransactionBytes = 2 << 20
	// headerEra tells the era of the store in each answer about rows.
	headerEra = "Store-Era"
)

// Handler returns the store's HTTP interface. Tests and demonstrations write rows and set faults below /standin/v1.
func (s *Store) Handler() http.Handler {
	e := common.NewEcho()
	e.POST("/-/rows-tx", s.transact)
	e.GET("/-/rows-get", s.get)
	e.GET("/-/rows-feed", s.feed)
	e.PUT("/standin/v1/rows/:table/*", s.putRow)
	e.PUT("/standin/v1/fault/:kind", func(c echo.Context) error {
		s.SetFault(Fault(c.Param("kind")))
		return c.NoContent(http.StatusNoContent)
	})
	e.DELETE("/standin/v1/fault", func(c echo.Context) error {
		s.SetFault(FaultNone)
		return c.NoContent(http.StatusNoContent)
	})
	return e
}

func (s *Store) putRow(c echo.Context) error {
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, maxValueBytes))
	if err != nil {
		return err
	}
	s.Put(c.Param("table"), c.Param("*"), value)
	return c.NoContent(http.StatusNoContent)
}

// applyFault carries out the faults that keep a call from being executed. It reports whether it has answered the call; it
// panics to close the connection.
func (s *Store) applyFault(c echo.Context, fault Fault) (bool, error) {
	switch fault {
	case FaultBusy:
		return true, c.NoContent(http.StatusServiceUnavailable)
	case FaultMany:
		return true, c.NoContent(http.StatusTooManyRequests)
	case FaultReset:
		common.CloseConnection()
	case FaultSilent:
		<-c.Request().Context().Done()
		common.CloseConnection()
	case FaultNone, FaultLost, FaultLate, FaultHeld:
	}
	return false, nil
}

func (s *Store) transact(c echo.Context) error {
	fault := s.beginCall()
	// The body is read before the fault is applied: net/http cancels the request's context on a closed connection only after
	// the body has been read, and FaultSilent waits for that.
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxTransactionBytes))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	if failed, err := s.applyFault(c, fault); failed {
		return err
	}
	var transaction wire.Transaction
	if err := json.Unmarshal(body, &transaction); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	switch fault {
	case FaultLate:
		time.AfterFunc(lateTransactionDelay, func() { s.apply(transaction) })
		common.CloseConnection()
	case FaultHeld:
		s.holdTransaction(transaction)
		common.CloseConnection()
	}
	reply, applied := s.apply(transaction)
	if fault == FaultLost {
		common.CloseConnection()
	}
	if !applied {
		return reply.write(c, http.StatusPreconditionFailed)
	}
	return reply.write(c, http.StatusOK)
}

// write sends the answer.
func (a answer) write(c echo.Context, status int) error {
	if a.era != 0 {
		c.Response().Header().Set(headerEra, strconv.FormatInt(a.era, 10))
	}
	return c.JSON(status, a.reply)
}

func (s *Store) get(c echo.Context) error {
	if failed, err := s.applyFault(c, s.beginCall()); failed {
		return err
	}
	limit, err := strconv.Atoi(c.QueryParam("Limit"))
	if err != nil {
		limit = 0
	}
	return s.readRows(c.QueryParam("Table"), c.QueryParam("From"), limit).write(c, http.StatusOK)
}

func (s *Store) feed(c echo.Context) error {
	if failed, err := s.applyFault(c, s.beginCall()); failed {
		return err
	}
	after, err := strconv.ParseInt(c.QueryParam("AfterRevision"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	millis, err := strconv.ParseInt(c.QueryParam("WaitMs"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	reply, historyKnown := s.waitForChanges(c.Request().Context(), c.QueryParam("Table"), after, time.Duration(millis)*time.Millisecond)
	if !historyKnown {
		return reply.write(c, http.StatusGone)
	}
	return reply.write(c, http.StatusOK)
}
