package responsehead

import (
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// Check returns an error if a response has a status below 100, such as 000, or a field with a space in its name: net/http accepts both.
// Statuses above 599 pass, because readers take them for those of server errors.
func Check(status int, header http.Header) error {
	if status < http.StatusContinue {
		return eris.Errorf("invalid status %03d", status)
	}
	for name := range header {
		// A field that is not recognised by its name, such as "Content-Length ", may be the one that says where the body ends.
		if strings.Contains(name, " ") {
			return eris.Errorf("invalid field name %.40q", name)
		}
	}
	return nil
}
