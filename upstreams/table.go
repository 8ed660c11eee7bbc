package main

import (
	"encoding/json"
	"io"
	"net/netip"

	"comfreyroute/upstreams/describer"
)

// row is one upstream row of the operators' table.
type row struct {
	Service       string         `json:"service"`
	Group         int            `json:"group"`
	Upstream      string         `json:"upstream"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failure_domain"`
	Weight        int            `json:"weight"`
	Connections   int            `json:"connections"`
	Slots         int            `json:"slots"`
	ConnectCostMS float64        `json:"connect_cost_ms"`
}

// printTable writes the operators' table of a deployment.
func printTable(w io.Writer, d *describer.Deployment) error {
	var rows []row
	for _, s := range d.Servers() {
		rows = append(rows, row{
			Service: s.Service.Name, Group: s.Group, Upstream: s.Name, Address: s.Address, FailureDomain: s.FailureDomain,
			Weight: 100, Connections: s.Service.Connections, Slots: s.Service.Slots,
			ConnectCostMS: float64(s.Service.ConnectCost.Microseconds()) / 1000,
		})
	}
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(rows)
}
