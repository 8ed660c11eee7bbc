// Package pacer limits the calls that one concern of a VM makes to the platform.
//
// A platform that returns after an outage must not meet the demand of the whole fleet at once. While calls fail, a VM makes
// one call for each jittered back-off delay. After the first answer its budget starts empty, so that the calls that waited
// spread over time. Each concern (table, VM list, claims) owns a Pacer with its share of the VM's budget.
package pacer
