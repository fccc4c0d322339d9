package main

import (
	"fmt"
	"os"
)

// must ends the run if the case could not run.
func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		stopAll()
		os.Exit(2)
	}
}
