package entry

import (
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"chicorytray.example/chicorytray/observe"
	"chicorytray.example/chicorytray/store"
)

// adminHandler returns the handler of the admin address. PUT /v1/config takes
// a document that the store has accepted, for entries that cannot reach the
// store; the reply holds the generation that is in force afterwards.
func (e *Entry) adminHandler() http.Handler {
	h := observe.AdminHandler(observe.AdminOptions{
		Ready: e.Ready, State: func() any { return e.State() }, Metrics: e.options.MetricsHandler,
	})
	h.PUT("/v1/config", e.handlePutConfig)
	return h
}

// generationReply is the body of the reply to PUT /v1/config.
type generationReply struct {
	Generation uint64 `json:"generation"`
}

func (e *Entry) handlePutConfig(c echo.Context) error {
	raw, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, store.MaxValueBytes))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return c.String(http.StatusRequestEntityTooLarge, "the document exceeds the size limit of a value in the store\n")
	}
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	if err := e.config.applyDocument(raw, "operator"); err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	return c.JSON(http.StatusOK, generationReply{e.config.generation()})
}
