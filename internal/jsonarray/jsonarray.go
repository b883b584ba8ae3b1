// Package jsonarray decodes JSON arrays of a bounded number of elements. An element may take a
// hundred times the memory of its JSON text.
package jsonarray

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// ErrTooMany is the error of an array with more elements than permitted.
var ErrTooMany = errors.New("the array has too many elements")

// minElementBytes is the size of the shortest element with its separator.
const minElementBytes = 2

// Decode decodes a JSON array, or null, and returns ErrTooMany instead of decoding more than
// limit elements. With strict set, it refuses unknown fields of objects.
func Decode[T any](text []byte, limit int, strict bool) ([]T, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	if strict {
		dec.DisallowUnknownFields()
	}
	var all []T
	if len(text) <= limit*minElementBytes || text[0] != '[' {
		err := dec.Decode(&all)
		return all, err
	}
	if _, err := dec.Token(); err != nil {
		return nil, err
	}
	for dec.More() {
		if len(all) == limit {
			return nil, ErrTooMany
		}
		var element T
		if err := dec.Decode(&element); err != nil {
			return nil, err
		}
		all = append(all, element)
	}
	return all, nil
}
