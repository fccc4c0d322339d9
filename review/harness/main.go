//go:build review

// Command harness runs one case of the review: it starts proxies with the command of the
// deploy file as separate processes on loopback, against the stand-ins of platform/standin,
// and checks one rule by what clients, servers and the platform saw.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseLimit is the time after which a case counts as one that could not run.
const caseLimit = 115 * time.Second

// cases are the scripts by name. A case returns a non-empty text if the rule was broken.
var cases = map[string]func(*run) (string, error){
	"stale":   runStale,
	"lost":    runLost,
	"recover": runRecover,
	"foreign": runForeign,
	"pinned":  runPinned,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(execute(cases[os.Args[1]], os.Args[2]))
}

func execute(play func(*run) (string, error), folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	r := &run{record: newRecord(file), trouble: os.Getenv("TROUBLE") != "0"}
	defer r.close()
	type outcome struct {
		broken string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(r)
		done <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			return r.finish(2, "could not run: "+o.err.Error())
		case o.broken != "":
			return r.finish(1, "broken: "+o.broken)
		}
		return r.finish(0, "held")
	case <-time.After(caseLimit):
		return r.finish(2, "could not run: time limit")
	case <-interrupted:
		return r.finish(2, "could not run: interrupted")
	}
}

// finish records and prints the result and returns the exit code.
func (r *run) finish(code int, text string) int {
	r.recordExecutions()
	r.record.printf("result %d %s", code, text)
	fmt.Println(text)
	return code
}
