package callers

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the models that the team may use.
func (s *Server) handleModels(c echo.Context) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, id := range s.router.Bundle().Models(teamOf(c)) {
		list.Data = append(list.Data, model{ID: id, Object: "model", OwnedBy: "aspenswitch"})
	}
	return c.JSON(http.StatusOK, list)
}
