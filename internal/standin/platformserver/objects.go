package platformserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/standin/control"
)

// objectFromPath returns the kind and the name of the object in the request's
// path.
func objectFromPath(c echo.Context) (objectstore.Kind, string) {
	kind := c.Param("kind")
	name := strings.TrimPrefix(c.Request().URL.Path, "/v1/objects/"+kind+"/")
	return objectstore.Kind(kind), name
}

func (s *Server) get(c echo.Context) error {
	kind, name := objectFromPath(c)
	s.count(kind, func(calls *Calls) { calls.Get++ })
	obj, err := s.store.Get(c.Request().Context(), kind, name)
	if err != nil {
		return respondError(c, err)
	}
	return c.JSON(http.StatusOK, obj)
}

func (s *Server) list(c echo.Context) error {
	kind := objectstore.Kind(c.Param("kind"))
	s.count(kind, func(calls *Calls) { calls.List++ })
	listing, err := s.store.List(c.Request().Context(), kind, c.QueryParam("prefix"))
	if err != nil {
		return respondError(c, err)
	}
	return c.JSON(http.StatusOK, listing)
}

func (s *Server) put(c echo.Context) error {
	kind, name := objectFromPath(c)
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, maxValueBytes+1))
	if err != nil {
		return err
	}
	if len(value) > maxValueBytes {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	if !json.Valid(value) {
		return echo.NewHTTPError(http.StatusBadRequest, "the value is not JSON")
	}
	status, obj, err := s.write(c, kind, name, value)
	if err != nil {
		return respondError(c, err)
	}
	s.dropResponse(kind)
	return c.JSON(status, obj)
}

func (s *Server) write(c echo.Context, kind objectstore.Kind, name string, value json.RawMessage) (int, objectstore.Object, error) {
	ctx, writeID := c.Request().Context(), c.Request().Header.Get("X-Write-Id")
	if c.Request().Header.Get("If-None-Match") == "*" {
		s.count(kind, func(calls *Calls) { calls.Create++ })
		obj, err := s.store.Create(ctx, kind, name, writeID, value)
		return http.StatusCreated, obj, err
	}
	version, err := ifMatch(c)
	if err != nil {
		return 0, objectstore.Object{}, err
	}
	s.count(kind, func(calls *Calls) { calls.Update++ })
	obj, err := s.store.Update(ctx, kind, name, version, writeID, value)
	return http.StatusOK, obj, err
}

func (s *Server) remove(c echo.Context) error {
	kind, name := objectFromPath(c)
	version, err := ifMatch(c)
	if err != nil {
		return err
	}
	s.count(kind, func(calls *Calls) { calls.Delete++ })
	if err := s.store.Delete(c.Request().Context(), kind, name, version); err != nil {
		return respondError(c, err)
	}
	s.dropResponse(kind)
	return c.NoContent(http.StatusNoContent)
}

// dropResponse closes the connection without a response if LoseAnswers applies
// to the kind.
func (s *Server) dropResponse(kind objectstore.Kind) {
	affected := s.switches.Get().LoseAnswersKind
	if affected != "" && affected != kind {
		return
	}
	if s.switches.Take(func(f *Faults) *int { return &f.LoseAnswers }) {
		control.Abort()
	}
}

func ifMatch(c echo.Context) (objectstore.Version, error) {
	text := strings.Trim(c.Request().Header.Get("If-Match"), `"`)
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, "send If-Match with a version, or If-None-Match: *")
	}
	return objectstore.Version(version), nil
}

func respondError(c echo.Context, err error) error {
	var notFound *objectstore.NotFoundError
	var conflict *objectstore.ConflictError
	var compacted *objectstore.CompactedError
	switch {
	case errors.As(err, &notFound):
		return c.NoContent(http.StatusNotFound)
	case errors.As(err, &conflict):
		return c.JSON(http.StatusPreconditionFailed, conflict.Current)
	case errors.As(err, &compacted):
		return c.JSON(http.StatusGone, goneResponse{Oldest: compacted.Oldest})
	default:
		return err
	}
}

type goneResponse struct {
	Oldest objectstore.Version `json:"oldest"`
}
