package authenticator

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Customer is an organisation whose callers present API keys.
type Customer struct {
	Name     string
	Priority Priority
	Rate     float64 // requests per second over all VMs; 0 for no limit
	Burst    float64 // requests that may come at once on top of the rate
}

// Priority is the rank of a customer, 0 is the highest. The zero value leaves the rank to the route.
type Priority struct {
	Rank int
	Set  bool
}

// Digest identifies an API key without revealing it.
type Digest [16]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:len(Digest{})])
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the result of String.
func ParseDigest(s string) (Digest, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(Digest{}) {
		return Digest{}, eris.Errorf("the digest of a key is %q, want %d hexadecimal digits", s, 2*len(Digest{}))
	}
	return Digest(b), nil
}

// Directory finds customers by their keys. The zero value and nil know no customer.
type Directory struct {
	byKey     map[Digest]*Customer
	customers []*Customer
}

// Add adds a customer with its keys. A key that another customer holds stays with that one. It must not be called once the
// directory is in use.
func (d *Directory) Add(c Customer, keys []string) {
	if d.byKey == nil {
		d.byKey = map[Digest]*Customer{}
	}
	d.customers = append(d.customers, &c)
	for _, key := range keys {
		digest := DigestOf(key)
		if _, taken := d.byKey[digest]; key != "" && !taken {
			d.byKey[digest] = &c
		}
	}
}

// Customers returns all customers in the order in which they were added. The result must not be changed.
func (d *Directory) Customers() []*Customer {
	if d == nil {
		return nil
	}
	return d.customers
}

// Lookup returns the customer that holds the key with a digest, or nil.
func (d *Directory) Lookup(key Digest) *Customer {
	if d == nil {
		return nil
	}
	return d.byKey[key]
}

// Verdict says who sent a request.
type Verdict interface{ isVerdict() }

// Authenticated means that the request presented a key of the customer.
type Authenticated struct {
	Customer *Customer
	Key      Digest
}

// Denied means that the request does not prove to which customer it belongs.
type Denied struct{ Cause Cause }

func (Authenticated) isVerdict() {}
func (Denied) isVerdict()        {}

//go:generate stringer -type=Cause -linecomment -output=strings.go

// Cause says why a request is denied.
type Cause int

// The causes of a denial.
const (
	NoKey       Cause = iota // no_key
	SeveralKeys              // several_keys
	UnknownKey               // unknown_key
)

// Authenticate decides to which customer a request with the given keys belongs.
func (d *Directory) Authenticate(keys []string) Verdict {
	switch {
	case len(keys) == 0 || len(keys) == 1 && keys[0] == "":
		return Denied{NoKey}
	case len(keys) > 1:
		return Denied{SeveralKeys}
	}
	digest := DigestOf(keys[0])
	if c := d.Lookup(digest); c != nil {
		return Authenticated{Customer: c, Key: digest}
	}
	return Denied{UnknownKey}
}
