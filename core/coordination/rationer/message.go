package rationer

import (
	"net/netip"
	"time"
)

// Member is a VM that can be a granter.
type Member struct {
	Name     string
	Address  netip.AddrPort // where it answers asks
	LinkMbps float64        // bandwidth of its network link; 0 if unknown
}

// Ask hands the share of a VM to a granter, and asks it for grants.
type Ask struct {
	VM      string        `json:"vm"`
	ShareIn time.Duration `json:"in,omitempty"`     // in ns, after which the share is no longer counted elsewhere
	Mark    Mark          `json:"mark,omitzero"`    // of the last offer of this granter; zero for none
	Until   time.Duration `json:"until,omitempty"`  // in ns after Mark, how long the share may be counted here
	Joins   bool          `json:"joins,omitempty"`  // the VM brings along what a joining VM may, see joinShare
	Leaves  bool          `json:"leaves,omitempty"` // the VM takes its share back with this ask
	Tests   bool          `json:"tests,omitempty"`  // the VM only wants to know whether this one answers

	Stored map[string]float64 `json:"stored,omitempty"` // what the last granter has given back, by customer
	Wants  []Want             `json:"wants,omitempty"`
}

// Want is the number of requests of a customer that wait for a grant at a VM. Late ones can no longer be answered within their latency target.
type Want struct {
	Customer string `json:"customer"`
	Requests int    `json:"requests,omitempty"` // in time
	Late     int    `json:"late,omitempty"`
}

// Mark is a point in the time of one granter. A VM uses it to say until when its share may be counted, so that an ask which arrives late does not
// make it count longer.
type Mark struct {
	Granter int64         `json:"granter,omitempty"` // differs after each start of the granter; 0 for no mark
	At      time.Duration `json:"at,omitempty"`      // in ns
}

// Offer is the answer to an Ask, with one Grant for each Want.
type Offer struct {
	Grants []Grant `json:"grants,omitempty"`
	Mark   Mark    `json:"mark,omitzero"` // when the granter answered

	// Released means that the granter no longer counts the share of the VM, because the VM leaves or the granter stops; in the answer to
	// a probe that it stops. Stored is the part of the stored grants that belongs to this share, by customer.
	Released bool               `json:"released,omitempty"`
	Stored   map[string]float64 `json:"stored,omitempty"`
}

// Grant allows some of the requests of a Want.
type Grant struct {
	Customer string        `json:"customer"`
	Requests int           `json:"requests,omitempty"`
	Late     int           `json:"late,omitempty"`
	After    time.Duration `json:"after,omitempty"`   // in ns, when the others may come again
	Unknown  bool          `json:"unknown,omitempty"` // the granter does not know the customer
}
