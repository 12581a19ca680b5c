package responsehead

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// Check returns an error if a response has a status below 100, such as 000, which net/http accepts. Statuses above 599 pass, because readers
// take them for those of server errors.
func Check(status int) error {
	if status < http.StatusContinue {
		return eris.Errorf("invalid status %03d", status)
	}
	return nil
}
