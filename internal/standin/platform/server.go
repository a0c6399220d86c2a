// Package platform is a stand-in for the platform's services over HTTP: table service, object store, instance list,
// rating service and weight store, with fault injection. It is meant for tests and demonstrations.
package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
	"github.com/cicadawall/cicadawall/internal/standin/common"
)

const (
	rowsPath       = "/v1/table/rows/"
	objectsPath    = "/v1/objects/"
	instanceHeader = "X-Cicadawall-Instance"
	maxRangeRows   = 1000
	maxObjectBytes = 16 << 20
	// maxHang limits the time for which the hang fault keeps a call open.
	maxHang = time.Minute
)

// Server is the stand-in.
type Server struct {
	echo    *echo.Echo
	faults  *faultTable
	rows    *memory.Table
	objects *memory.Objects
	list    *listTable
	ratings *ratingTable
	weights *weightTable
}

// New returns a stand-in with empty tables. The seed determines the noise of the scores.
func New(seed uint64) *Server {
	s := &Server{
		echo:    common.NewEcho(),
		faults:  newFaultTable(),
		rows:    memory.NewTable(),
		objects: memory.NewObjects(),
		list:    newListTable(),
		ratings: newRatingTable(seed),
		weights: newWeightTable(),
	}
	s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

func (s *Server) routes() {
	s.echo.PUT(rowsPath+"*", s.putRow)
	s.echo.GET(rowsPath+"*", s.getRow)
	s.echo.GET("/v1/table/range", s.rangeRows)
	s.echo.PUT(objectsPath+"*", s.putObject)
	s.echo.GET(objectsPath+"*", s.getObject)
	s.echo.GET("/v1/instances", s.listInstances)
	s.echo.POST("/v1/ratings", s.submitRating)
	s.echo.GET("/v1/ratings", s.listRatings)
	s.echo.POST("/v1/weights/:model/:version", s.requestWeights)
	s.adminRoutes()
}

// applyFaults applies latency and faults to one call and returns the verdict. It panics to close the connection if the call
// hangs or is dropped; a refused call is answered by the caller.
func (s *Server) applyFaults(c echo.Context, key string, write bool) verdict {
	ctx := c.Request().Context()
	common.Sleep(ctx, s.faults.latency())
	verdict := s.faults.nextVerdict(c.Request().Header.Get(instanceHeader), key, write)
	switch verdict {
	case verdictHang:
		common.Sleep(ctx, maxHang)
		common.CloseConnection()
	case verdictDrop:
		common.CloseConnection()
	}
	return verdict
}

func answerUnavailable(c echo.Context) error {
	return c.String(http.StatusServiceUnavailable, "outage on command")
}

// keyFromPath returns the row or object key after the prefix of the path. The key may contain slashes, escaped or not.
func keyFromPath(c echo.Context, prefix string) string {
	return strings.TrimPrefix(c.Request().URL.Path, prefix)
}

func (s *Server) putObject(c echo.Context) error {
	key := keyFromPath(c, objectsPath)
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxObjectBytes))
	if err != nil {
		return err
	}
	verdict := s.applyFaults(c, key, true)
	if verdict == verdictRefuse {
		return answerUnavailable(c)
	}
	if err := s.objects.PutIfAbsent(c.Request().Context(), key, body); err != nil {
		return answerUnavailable(c)
	}
	if verdict == verdictLoseReply {
		common.CloseConnection()
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) getObject(c echo.Context) error {
	key := keyFromPath(c, objectsPath)
	if s.applyFaults(c, key, false) == verdictRefuse {
		return answerUnavailable(c)
	}
	value, err := s.objects.Get(c.Request().Context(), key)
	if err != nil {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, "application/octet-stream", value)
}

func (s *Server) listInstances(c echo.Context) error {
	if s.applyFaults(c, "", false) == verdictRefuse {
		return answerUnavailable(c)
	}
	faults := s.faults.get()
	switch faults.List {
	case api.ListUnreachable:
		common.CloseConnection()
	case api.ListEmpty:
		return writeList(c, []api.InstanceEntry{})
	}
	lag := time.Duration(faults.ListLagMillis) * time.Millisecond
	return writeList(c, s.list.entriesAt(faults.List == api.ListFrozen, time.Now().Add(-lag)))
}

// writeList answers with the list and its entity tag, or with 304 if the request names this entity tag.
func writeList(c echo.Context, entries []api.InstanceEntry) error {
	body, err := json.Marshal(api.InstanceList{Entries: entries})
	if err != nil {
		return err
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	c.Response().Header().Set("ETag", etag)
	if c.Request().Header.Get("If-None-Match") == etag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSONBlob(http.StatusOK, body)
}

func (s *Server) submitRating(c echo.Context) error {
	var request api.RatingRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	verdict := s.applyFaults(c, "", true)
	faults := s.faults.get()
	if verdict == verdictRefuse || faults.RatingsOutage {
		return answerUnavailable(c)
	}
	s.ratings.submit(request, time.Now().Add(time.Duration(faults.RatingDelayMillis)*time.Millisecond))
	if verdict == verdictLoseReply {
		common.CloseConnection()
	}
	return c.NoContent(http.StatusAccepted)
}

func (s *Server) listRatings(c echo.Context) error {
	if s.applyFaults(c, "", false) == verdictRefuse || s.faults.get().RatingsOutage {
		return answerUnavailable(c)
	}
	results := s.ratings.results(c.QueryParam("instance"), c.QueryParam("after"), time.Now())
	return c.JSON(http.StatusOK, results)
}

func (s *Server) requestWeights(c echo.Context) error {
	verdict := s.applyFaults(c, "", true)
	if verdict == verdictRefuse {
		return answerUnavailable(c)
	}
	grant := s.weights.requestGrant(s.faults.get(), time.Now())
	if verdict == verdictLoseReply {
		common.CloseConnection()
	}
	if grant.GrantedBytes == 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(1+grant.RetryAfterMillis/1000))
		return c.JSON(http.StatusTooManyRequests, grant)
	}
	return c.JSON(http.StatusOK, grant)
}
