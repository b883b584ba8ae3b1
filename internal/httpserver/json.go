package httpserver

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/dogwoodgauge/dogwoodgauge/core/errkind"
)

// Error is the reason for which a request is refused. Its kind is never errkind.None.
type Error struct {
	Kind   errkind.Kind
	Detail string
}

// Error returns the kind and the detail.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Detail }

// BadRequest returns an Error of kind errkind.BadRequest.
func BadRequest(format string, args ...any) *Error {
	return &Error{Kind: errkind.BadRequest, Detail: fmt.Sprintf(format, args...)}
}

// TooLarge returns an Error of kind errkind.TooLarge.
func TooLarge(format string, args ...any) *Error {
	return &Error{Kind: errkind.TooLarge, Detail: fmt.Sprintf(format, args...)}
}

// DecodeJSON parses the JSON object in body into v. It refuses unknown fields and data
// after the object. The error is an *Error.
func DecodeJSON(body []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return BadRequest("the body holds data after the JSON object")
	}
	return nil
}

// decodeError returns the refusal for an error of the JSON decoder.
func decodeError(err error) *Error {
	var wrongType *json.UnmarshalTypeError
	var corrupt base64.CorruptInputError
	var refused *Error
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.Is(err, io.EOF):
		return BadRequest("the body is empty; a JSON object is expected")
	case errors.As(err, &wrongType):
		return BadRequest("field %s: a %s is expected, got a %s", wrongType.Field, wrongType.Type, wrongType.Value)
	case errors.As(err, &corrupt):
		return BadRequest("a payload is not base64: %v", corrupt)
	default:
		return BadRequest("the body is not valid: %v", err)
	}
}

// WriteJSON answers with a status and a JSON body. The connection of a client that
// does not read the answer within answerWriteTimeout is closed.
func WriteJSON(c echo.Context, status int, v any) error {
	response := http.NewResponseController(c.Response())
	_ = response.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	defer func() { _ = response.SetWriteDeadline(time.Time{}) }()
	return c.JSON(status, v)
}
