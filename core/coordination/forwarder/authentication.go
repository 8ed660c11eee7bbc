package forwarder

import "comfreyroute/core/coordination/authenticator"

// authenticate finds the customer of a request. It returns the reason to refuse it if the manifest requires a key and the request
// has none that the manifest names.
func (m *Machine) authenticate(r *request, keys []string) (Reason, bool) {
	if m.manifest.Customers == nil {
		// Without customers here but not at the first VM, the two have different manifests.
		return OtherManifest, r.detoured == nil || !r.detoured.Identity.Verified
	}
	r.identity.Verified = true
	if r.detoured != nil {
		return OtherManifest, m.authenticateDetoured(r)
	}
	if r.route.Anonymous {
		return None, true
	}
	switch v := m.manifest.Customers.Authenticate(keys).(type) {
	case authenticator.Authenticated:
		r.setCustomer(v.Customer, v.Key)
		return None, true
	case authenticator.Denied:
		switch v.Cause {
		case authenticator.SeveralKeys:
			return SeveralKeys, false
		case authenticator.NoKey:
			return NoKey, false
		}
	}
	return UnknownKey, false
}

// authenticateDetoured checks what another VM says of the caller against the manifest of this one. The other VM may not know yet that a
// key was withdrawn.
func (m *Machine) authenticateDetoured(r *request) bool {
	d := r.detoured
	if !d.Identity.Verified {
		return false
	}
	if r.route.Anonymous {
		return d.Identity.Customer == ""
	}
	c := m.manifest.Customers.Lookup(d.Key)
	if c == nil || c.Name != d.Identity.Customer {
		return false
	}
	r.setCustomer(c, d.Key)
	return true
}

func (r *request) setCustomer(c *authenticator.Customer, key authenticator.Digest) {
	r.customer, r.key, r.identity.Customer = c, key, c.Name
}

// priorities returns the ranks by which requests are ordered, the most significant first and 0 the highest. The rank of a customer
// goes before that of the route.
func (r *request) priorities() [2]int {
	if r.customer != nil && r.customer.Priority.Set {
		return [2]int{r.customer.Priority.Rank, r.route.Priority}
	}
	return [2]int{r.route.Priority, r.route.Priority}
}
