// Package publisher writes the operators' table and the VM list of a deployment to the fake platform, so that a test or an
// experiment starts with a complete platform without the operators' command-line tool.
package publisher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"

	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/state/tabler"
	"comfreyroute/core/transport/kvclient"
	"comfreyroute/upstreams/describer"
)

// WriteTable writes the table values of a deployment. It replaces existing values.
func WriteTable(ctx context.Context, c *kvclient.Client, d *describer.Deployment) error {
	for _, v := range d.Table() {
		data, err := tabler.Encode(v)
		if err != nil {
			return err
		}
		key := tabler.Key(v.Service.Service)
		old := c.Get(ctx, key)
		if old.Status != kvclient.OK {
			return eris.Errorf("publish %s: %s: %v", key, old.Status, old.Err)
		}
		if w := c.Put(ctx, key, data, old.Item.Revision, 0); w.Status != kvclient.OK {
			return eris.Errorf("publish %s: %s: %v", key, w.Status, w.Err)
		}
	}
	return nil
}

// AddVMs adds VMs to the VM list through the control interface of the fake platform.
func AddVMs(ctx context.Context, control netip.AddrPort, vms []encoder.ListedVM) error {
	body, err := json.Marshal(map[string]any{"set": vms})
	if err != nil {
		return eris.Wrap(err, "publish VM list")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control.String()+"/control", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "publish VM list")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "publish VM list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1000))
		return eris.Errorf("publish VM list: HTTP status %d: %s", response.StatusCode, text)
	}
	return nil
}
