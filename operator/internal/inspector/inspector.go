// Package inspector asks an entry VM what it and its peers report.
package inspector

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/rotisserie/eris"
)

// maxBytes bounds an answer of an entry VM.
const maxBytes = 64 << 20

// Inspector reads from the caller address of one entry VM.
type Inspector struct{ Address netip.AddrPort }

// Get returns the document at a path. It returns an error when the VM can't be reached or answers with a status other than 200.
func (i Inspector) Get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: i.Address.String(), Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, eris.Wrapf(err, "entry VM %s", i.Address)
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, eris.Wrapf(err, "entry VM %s", i.Address)
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxBytes))
	if err != nil {
		return nil, eris.Wrapf(err, "entry VM %s", i.Address)
	}
	if reply.StatusCode != http.StatusOK {
		return nil, eris.Errorf("entry VM %s answered %s to %s: %.200s", i.Address, reply.Status, path, data)
	}
	return data, nil
}
