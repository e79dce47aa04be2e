// Package exactjson decodes JSON with case-sensitive field names.
//
// The protocols tell field names apart by case, and a receiver must ignore fields that it does
// not know. Go's JSON libraries match names without regard to case by default, so that an unknown
// field "cells" would replace the known field "Cells". All JSON is therefore decoded with this
// package.
package exactjson

import (
	stdjson "encoding/json"
	"errors"
	"io"

	"github.com/segmentio/encoding/json"
)

// errTrailingData means that a JSON value is followed by more than white space.
var errTrailingData = errors.New("json: data after the value")

// Unmarshal decodes b, which must be one JSON value, into v. A field of an object is stored only
// if its name matches exactly; other fields are ignored.
func Unmarshal(b []byte, v any) error {
	rest, err := json.Parse(b, v, json.DontMatchCaseInsensitiveStructFields)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return errTrailingData
	}
	return nil
}

// Decode decodes the first JSON value that r yields into v, with the same rule for fields. It
// returns once the value is complete, so that a stream that stays open can be read: the standard
// library's decoder reads the value, because the other one waits for a full buffer.
func Decode(r io.Reader, v any) error {
	var value stdjson.RawMessage
	if err := stdjson.NewDecoder(r).Decode(&value); err != nil {
		return err
	}
	return Unmarshal(value, v)
}
