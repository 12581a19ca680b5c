package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"shallotring.dev/state/ident"
)

// readBufferBytes is the size of the buffer for reading responses.
const readBufferBytes = 32 << 10

// Call is one request to an endpoint.
type Call struct {
	ID      ident.TryID
	Adapter ident.AdapterVersion
	// Service is set for plain services, whose responses are forwarded whatever their status.
	Service     bool
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Key         ident.Key
	Priority    int32
}

// ResponseHead is the status and content type of an endpoint's response.
type ResponseHead struct {
	Status      int
	ContentType string
}

// Usage is the token usage that the engine reports in its response.
type Usage struct {
	PromptTokens     ident.Tokens
	CompletionTokens ident.Tokens
}

// Run sends a request and calls fn with each chunk of the response as it arrives; a chunk is valid only until fn returns.
// An error of fn ends the call. EffectOf an error states whether the request may have run.
func (c *Client) Run(ctx context.Context, fencingNumber ident.Incarnation, call Call, fn func(ResponseHead, []byte) error) (head ResponseHead, u Usage, err error) {
	defer func() { err = eris.Wrap(err, "run request") }()
	r, err := c.request(ctx, call)
	if err != nil {
		return head, u, &CallError{Effect: NoEffect, Err: err}
	}
	resp, err := c.send(r, fencingNumber)
	if err != nil {
		return head, u, err
	}
	defer resp.Body.Close()
	head = ResponseHead{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	if !call.Service {
		if err = engineStatus(head.Status); err != nil {
			return head, u, err
		}
	}
	u, err = forwardBody(resp.Body, head, newUsageReader(resp, call.Service), fn)
	return head, u, err
}

// engineStatus returns an error for a status that means that the response is not a result. An engine responds with 404 if the
// adapter is not loaded and with 429 if it is overloaded, both before the request runs; after a server error the request may
// have run.
func engineStatus(status int) error {
	switch {
	case status == http.StatusNotFound || status == http.StatusTooManyRequests:
		return &CallError{Effect: NoEffect, Status: status, Err: eris.Errorf("engine responded with status %d", status)}
	case status >= http.StatusInternalServerError:
		return &CallError{Effect: MayHaveEffect, Status: status, Err: eris.Errorf("engine responded with status %d", status)}
	}
	return nil
}

// forwardBody reads the response body to its end, calls fn with each chunk and returns the token usage.
func forwardBody(body io.Reader, head ResponseHead, reader *usageReader, fn func(ResponseHead, []byte) error) (u Usage, err error) {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			reader.write(buf[:n])
			if err := fn(head, buf[:n]); err != nil {
				return u, &CallError{Effect: MayHaveEffect, Status: head.Status, Err: err}
			}
		}
		if errors.Is(err, io.EOF) {
			return reader.close()
		}
		if err != nil {
			return u, &CallError{Effect: MayHaveEffect, Status: head.Status, Err: err}
		}
	}
}

func (c *Client) request(ctx context.Context, call Call) (r *http.Request, err error) {
	body := call.Body
	if !call.Service {
		if body, err = renameModel(body, call.Adapter); err != nil {
			return nil, err
		}
	}
	r, err = http.NewRequestWithContext(ctx, call.Method, c.url(call.Path), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if call.ContentType != "" {
		r.Header.Set("Content-Type", call.ContentType)
	}
	r.Header.Set(HeaderRequestID, RequestName(call.ID))
	if call.Key != "" {
		r.Header.Set(HeaderIdempotencyKey, string(call.Key))
	}
	if call.Priority != 0 {
		r.Header.Set(HeaderPriority, strconv.FormatInt(int64(call.Priority), 10))
	}
	return r, nil
}

// RequestName returns the request id of a try at an endpoint.
func RequestName(id ident.TryID) string {
	return string(id.RequestID) + "/" + strconv.FormatUint(uint64(id.Try), 10)
}

// renameModel sets the model in the request body to the exact adapter version, so that the engine cannot use another version.
func renameModel(body []byte, av ident.AdapterVersion) (renamed []byte, err error) {
	fields := make(map[string]json.RawMessage)
	if err = json.Unmarshal(body, &fields); err != nil {
		return nil, eris.Wrap(err, "decode request body")
	}
	if fields["model"], err = json.Marshal(av.String()); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}
