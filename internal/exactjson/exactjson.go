// Package exactjson decodes JSON with case-sensitive field names.
//
// The protocols tell field names apart by case, and a receiver must ignore fields that it does
// not know. Go's JSON libraries match names without regard to case by default, so that an unknown
// field "cells" would replace the known field "Cells". All JSON is therefore decoded with this
// package.
package exactjson

import (
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

// Decode decodes the first JSON value that r yields into v, with the same rule for fields. What
// follows the value is left alone, so that a stream that stays open can be read.
func Decode(r io.Reader, v any) error {
	decoder := json.NewDecoder(r)
	decoder.DontMatchCaseInsensitiveStructFields()
	return decoder.Decode(v)
}
