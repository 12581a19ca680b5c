package hostlist

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/protocol/jsonvalue"
	"shallotring.dev/protocol/roundtrip"
	"shallotring.dev/state/ident"
)

const (
	// callTimeout limits one read of the list.
	callTimeout = 2 * time.Second
	// maxListBytes limits the size of the list; 1,000 hosts take about 50 KB.
	maxListBytes = 8 << 20
)

// Host is one host in the list.
type Host struct {
	Host    ident.Host
	Leaving bool
}

// Client reads the list at one URL.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the list at the URL.
func New(url string) *Client {
	return &Client{url: url, http: &http.Client{Timeout: callTimeout, Transport: roundtrip.New(&http.Transport{MaxIdleConnsPerHost: 1})}}
}

// Leaving reports whether the list marks the host as leaving; a host that is not in the list is not leaving.
func (c *Client) Leaving(ctx context.Context, host ident.Host) (leaving bool, err error) {
	defer func() { err = eris.Wrap(err, "read the host list") }()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, http.NoBody)
	if err != nil {
		return false, err
	}
	response, err := c.http.Do(r)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false, eris.Errorf("host list responded with status %s", response.Status)
	}
	var list []Host
	if err = jsonvalue.Decode(io.LimitReader(response.Body, maxListBytes), &list); err != nil {
		return false, err
	}
	for _, h := range list {
		if h.Host == host {
			return h.Leaving, nil
		}
	}
	return false, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
