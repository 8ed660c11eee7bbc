// Package authenticator finds the customer to which the API key of a request belongs.
//
// Customers and their keys come with each manifest. A Directory is an immutable index of one manifest, so that a request is
// checked against the same version by which it is routed. It holds digests instead of keys: nothing that is logged, counted or
// sent to another VM can contain a key.
package authenticator
