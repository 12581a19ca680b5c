package openai

import "net/http"

// Types of errors of the API.
const (
	TypeInvalidRequest = "invalid_request_error"
	TypeAuthentication = "authentication_error"
	TypeNotFound       = "not_found_error"
	TypeRateLimit      = "rate_limit_error"
	TypeServer         = "server_error"
)

// Error is an error in the API's form; Status is the HTTP status that it is sent with.
type Error struct {
	Status  int     `json:"-"`
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// ErrorResponse is the body of an error and the data of an error event.
type ErrorResponse struct {
	Error *Error `json:"error"`
}

// NewError returns an error whose type follows from the status.
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

func invalid(param, code, message string) *Error {
	e := NewError(http.StatusBadRequest, code, message)
	e.Param = &param
	return e
}

func malformed(err error, what string) *Error {
	if err != nil {
		what += ": " + err.Error()
	}
	return NewError(http.StatusBadRequest, "malformed_json", "malformed JSON: "+what)
}
