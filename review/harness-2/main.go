// The command harness-2 plays the scripts of the review: it starts proxies as processes, and small
// stand-ins of the platform, the servers and the clients.
package main

import (
	"fmt"
	"os"
)

// run is one run of a case.
type run struct {
	rec     *record
	binary  string
	trouble bool
}

// cases play a case. They report whether the rule was kept.
var cases = map[string]func(*run) bool{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	r := &run{rec: newRecord(os.Args[3]), binary: os.Args[2], trouble: os.Getenv("TROUBLE") != "0"}
	kept := cases[os.Args[1]](r)
	stopAll()
	if !kept {
		r.rec.say("the rule was broken")
		os.Exit(1)
	}
	r.rec.say("the rule was kept")
}
