package forwarder

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// credentialHeaders are the headers by which upstreams tell callers apart. The address of a caller is not used: it changes between two
// connections, and a peer that serves the request does not know it.
var credentialHeaders = [...]string{"Authorization", "Cookie", "X-Api-Key"}

// Signature returns a hash of what an upstream gets to see of a request: two requests with the same signature are the same request that comes
// again, at whatever VM and with whatever ID. The customer of a verified request stands for its key, which a peer does not get.
func (m *Message) Signature(id Identity) uint64 {
	var d xxhash.Digest
	d.Reset()
	add := func(s string) {
		_, _ = d.WriteString(s) // a digest takes every write
		_, _ = d.WriteString("\x00")
	}
	add(m.Method)
	add(m.Host)
	add(m.Target)
	claimed := m.Identity
	if id.Verified {
		add(id.Customer)
		claimed = nil
	}
	for _, name := range credentialHeaders {
		for _, header := range [...]http.Header{m.Header, claimed} {
			for _, value := range header[name] {
				add(value)
			}
		}
		add("")
	}
	_, _ = d.Write(m.Body)
	return d.Sum64()
}
