package callers

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/aspenswitch/aspenswitch/bundle"
)

const teamContextKey = "team"

// authenticate rejects requests without a valid bearer key and stores the key's
// team in the request context.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.router.Bundle() == nil {
			return unavailable("not-ready", "no bundle is in force here yet", minRetryAfter)
		}
		key, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok {
			return invalidRequest(http.StatusUnauthorized, "invalid_api_key", "a bearer key is needed")
		}
		team, ok := s.router.Team(key)
		if !ok {
			return invalidRequest(http.StatusUnauthorized, "invalid_api_key", "no team has this key")
		}
		c.Set(teamContextKey, team)
		recordOf(c).team = team.Name
		return next(c)
	}
}

func teamOf(c echo.Context) bundle.Team { return c.Get(teamContextKey).(bundle.Team) }
