package claimer

import "time"

// Sweeper selects the claims that are old enough to be deleted. Any VM may sweep; two VMs that sweep at the same time only make
// superfluous calls.
//
// A claim may be deleted only when every VM refuses its key, which is after KeyRetention and twice MaxClockSkew.
type Sweeper struct {
	KeyRetention time.Duration // zero takes the default of Config
	MaxClockSkew time.Duration // zero takes the default of Config
}

// ListedClaim is one claim in a listing of the store.
type ListedClaim struct {
	Key      string // without KeyPrefix
	Revision uint64
}

// Expired returns the leading claims that may be deleted. The list is in key order, and so starts with the oldest claim. The
// result more reports whether the whole list has expired, so that the next page may hold further expired claims.
func (w Sweeper) Expired(now time.Time, listed []ListedClaim) (expired []ListedClaim, more bool) {
	setDefault(&w.KeyRetention, defaultKeyRetention)
	setDefault(&w.MaxClockSkew, defaultMaxClockSkew)
	for i, c := range listed {
		t, err := keyTime(c.Key)
		if err == nil && now.Sub(t) <= w.KeyRetention+2*w.MaxClockSkew {
			return listed[:i], false
		}
	}
	return listed, len(listed) > 0
}
