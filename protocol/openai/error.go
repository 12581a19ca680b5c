package openai

import "net/http"

// Error types of the API.
const (
	TypeInvalidRequest = "invalid_request_error"
	TypeAuthentication = "authentication_error"
	TypeNotFound       = "not_found_error"
	TypeRateLimit      = "rate_limit_error"
	TypeServer         = "server_error"
)

// Error is an error as the API encodes it; Status is the HTTP status of its response.
type Error struct {
	Status  int     `json:"-"`
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// ErrorResponse is the body of an error response and the data of an error event in a stream.
type ErrorResponse struct {
	Error *Error `json:"error"`
}

// NewError returns an error with the type that corresponds to the status.
func NewError(status int, code, message string) *Error {
	return &Error{Status: status, Message: message, Type: typeOf(status), Code: code}
}

func typeOf(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return TypeAuthentication
	case status == http.StatusNotFound:
		return TypeNotFound
	case status == http.StatusTooManyRequests:
		return TypeRateLimit
	case status >= http.StatusInternalServerError:
		return TypeServer
	}
	return TypeInvalidRequest
}

func invalidField(param, code, message string) *Error {
	e := NewError(http.StatusBadRequest, code, message)
	e.Param = &param
	return e
}

func malformedJSON(err error, what string) *Error {
	if err != nil {
		what += ": " + err.Error()
	}
	return NewError(http.StatusBadRequest, "malformed_json", "malformed JSON: "+what)
}
