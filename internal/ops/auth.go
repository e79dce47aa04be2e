package ops

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"honeylock/internal/config"
	"honeylock/internal/node"
)

const accessKey = "access"

// tokenChecker holds the hashes of the valid tokens. It limits the rate of wrong tokens,
// so that tokens can't be guessed by trying many.
type tokenChecker struct {
	access      []config.Access
	wrongTokens *rate.Limiter
}

func newTokenChecker(a []config.Access) *tokenChecker {
	return &tokenChecker{a, rate.NewLimiter(5, 20)}
}

// lookup returns the access entry of a token, nil if there is none. It compares all
// hashes in constant time, so that its duration reveals nothing about them.
func (t *tokenChecker) lookup(token string) *config.Access {
	hash := sha256.Sum256([]byte(token))
	var found *config.Access
	for i := range t.access {
		if subtle.ConstantTimeCompare(hash[:], t.access[i].Hash[:]) == 1 {
			found = &t.access[i]
		}
	}
	return found
}

// authorise is middleware that rejects requests without a valid bearer token.
func (s *Server) authorise(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		var a *config.Access
		if ok {
			a = s.tokens.lookup(token)
		}
		switch {
		case a == nil && !s.tokens.wrongTokens.Allow():
			return s.answer(c, node.CallReply{Status: http.StatusTooManyRequests, Err: "too many wrong tokens"})
		case a == nil:
			c.Response().Header().Set("WWW-Authenticate", "Bearer")
			return s.answer(c, node.CallReply{Status: http.StatusUnauthorized,
				Err: "a valid operator's bearer token for this cluster is required"})
		}
		c.Set(accessKey, a)
		return next(c)
	}
}
