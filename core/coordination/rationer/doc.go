// Package rationer keeps the requests of a customer within a rate over the whole fleet, while callers send to VMs at random.
//
// Each VM owns an equal share of every customer's rate. A share alone is of little use: a customer with ten requests a second
// over eighty VMs sends each of them one in eight seconds. So the VMs hand their shares to one of them, the granter, which gives out
// grants for single requests as they come. Nobody has to agree who that is: a VM hands its share to the best-ranked VM that it
// reaches, and two granters at the same time divide the rate by the VMs that each of them hears from.
//
// The bound holds because a share is counted in one place at a time. A VM that loses its granter tells the next one from when on
// the share is free, and one that reaches no granter uses only its own.
package rationer
