package server

import (
	"fmt"

	"github.com/labstack/echo/v4"
	"github.com/segmentio/encoding/json"

	"honeylock/internal/exactjson"
)

// serializer makes echo use the same JSON library as the other packages.
type serializer struct{}

func (serializer) Serialize(c echo.Context, v any, _ string) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	_, err = c.Response().Write(b)
	return err
}

func (serializer) Deserialize(c echo.Context, v any) error {
	return exactjson.Decode(c.Request().Body, v)
}
