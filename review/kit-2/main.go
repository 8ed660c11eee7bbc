// Package main plays the cases of the review against the programs of the deploy file. All addresses are loopback addresses.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(){
		"lost-answers":   lostAnswers,
		"broken-answers": brokenAnswers,
		"config-storms":  configStorms,
		"bursts":         bursts,
		"unrouted":       unroutedRequests,
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit CASE")
		os.Exit(exitUnable)
	}
	cases[os.Args[1]]()
}
