// Command kit3 plays the scripts of the third review: it starts gateways as separate processes beside stand-ins for the
// platform's store, servers and clients, on loopback addresses and the real clock.
//
// Usage: kit3 CASE, with the path of the gateway in GATEWAY, the file for the record in RECORD, and TROUBLE=0 for a run
// without the disruption. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main
