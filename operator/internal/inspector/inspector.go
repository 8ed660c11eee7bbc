// Package inspector reads the status of an entry VM and its peers over HTTP.
package inspector

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/rotisserie/eris"
)

// maxResponseBytes limits how much of a response is read. The rest of a longer response is ignored.
const maxResponseBytes = 64 << 20

// Inspector reads from one entry VM. Address is the caller address of the VM.
type Inspector struct{ Address netip.AddrPort }

// Get returns the body of the response to a GET request. It returns an error if the VM can't be reached or the HTTP status isn't 200.
func (i Inspector) Get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: i.Address.String(), Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, eris.Wrapf(err, "entry VM %s", i.Address)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, eris.Wrapf(err, "entry VM %s", i.Address)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, eris.Wrapf(err, "entry VM %s", i.Address)
	}
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("entry VM %s: HTTP status %s for GET %s: %.200s", i.Address, response.Status, path, data)
	}
	return data, nil
}
