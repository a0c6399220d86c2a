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
	// lateBy is how long a late transaction is done after its caller's connection was closed.
	lateBy = 300 * time.Millisecond
	// maxValueBytes bounds a row written on the administrators' path.
	maxValueBytes = 1 << 20
	// maxTransactionBytes bounds a transaction: the platform's limit of 1 MB, with room for base64 and field names.
	maxTransactionBytes = 2 << 20
)

// Handler returns the store's HTTP interface. Administrators write rows and faults below /standin/v1.
func (s *Store) Handler() http.Handler {
	e := common.NewEcho()
	e.POST("/-/rows-tx", s.transact)
	e.GET("/-/rows-get", s.get)
	e.GET("/-/rows-feed", s.feed)
	e.PUT("/standin/v1/rows/:table/*", s.administer)
	e.PUT("/standin/v1/fault/:kind", func(c echo.Context) error {
		s.Fail(Fault(c.Param("kind")))
		return c.NoContent(http.StatusNoContent)
	})
	e.DELETE("/standin/v1/fault", func(c echo.Context) error {
		s.Fail(FaultNone)
		return c.NoContent(http.StatusNoContent)
	})
	return e
}

func (s *Store) administer(c echo.Context) error {
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, maxValueBytes))
	if err != nil {
		return err
	}
	s.Put(c.Param("table"), c.Param("*"), value)
	return c.NoContent(http.StatusNoContent)
}

// failed answers a call with the fault in force and reports whether there was one that prevents the call.
func (s *Store) failed(c echo.Context, fault Fault) (bool, error) {
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
	fault := s.enter()
	// The body is read first: the server notices a closed connection only after that, and a silent answer waits for it.
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxTransactionBytes))
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	if failed, err := s.failed(c, fault); failed {
		return err
	}
	var transaction wire.Transaction
	if err := json.Unmarshal(body, &transaction); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	switch fault {
	case FaultLate:
		time.AfterFunc(lateBy, func() { s.apply(transaction) })
		common.CloseConnection()
	case FaultHeld:
		s.hold(transaction)
		common.CloseConnection()
	}
	reply, done := s.apply(transaction)
	if fault == FaultLost {
		common.CloseConnection()
	}
	if !done {
		return c.JSON(http.StatusPreconditionFailed, reply)
	}
	return c.JSON(http.StatusOK, reply)
}

func (s *Store) get(c echo.Context) error {
	if failed, err := s.failed(c, s.enter()); failed {
		return err
	}
	limit, err := strconv.Atoi(c.QueryParam("Limit"))
	if err != nil {
		limit = 0
	}
	return c.JSON(http.StatusOK, s.read(c.QueryParam("Table"), c.QueryParam("From"), limit))
}

func (s *Store) feed(c echo.Context) error {
	if failed, err := s.failed(c, s.enter()); failed {
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
	reply, known := s.changes(c.Request().Context(), c.QueryParam("Table"), after, time.Duration(millis)*time.Millisecond)
	if !known {
		return c.JSON(http.StatusGone, reply)
	}
	return c.JSON(http.StatusOK, reply)
}
