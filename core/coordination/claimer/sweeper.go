package claimer

import "time"

// Sweeper selects claims that are old enough to be deleted. Any VM may sweep; two that sweep at once cost only calls.
//
// A claim is deleted only when every VM refuses its key: after the retention and twice the clock difference between VMs.
type Sweeper struct {
	KeyRetention time.Duration // zero takes the default of Config
	MaxClockSkew time.Duration // zero takes the default of Config
}

// ListedClaim is one claim as listed by the store.
type ListedClaim struct {
	Key      string // without Prefix
	Revision uint64
}

// Expired returns the leading claims that may be deleted. Claims are listed in key order and so from the oldest; more reports
// whether the whole list was expired, so that another page may hold more.
func (w Sweeper) Expired(now time.Time, listed []ListedClaim) (expired []ListedClaim, more bool) {
	setDefault(&w.KeyRetention, defaultRetention)
	setDefault(&w.MaxClockSkew, defaultClockSkew)
	for i, c := range listed {
		t, err := keyTime(c.Key)
		if err == nil && now.Sub(t) <= w.KeyRetention+2*w.MaxClockSkew {
			return listed[:i], false
		}
	}
	return listed, len(listed) > 0
}
