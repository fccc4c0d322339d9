//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// runForeign checks RECOVER, like runRecover, with an entry of another writer among those of the
// servers: fields are missing, so that it names no server to use. The final fault kills all
// processes right after a configuration was acknowledged. The primary is lost for good meanwhile.
func runForeign(r *run) (string, error) {
	if err := r.start(zones, nil); err != nil {
		return "", err
	}
	if r.trouble {
		address, err := freeAddress()
		if err != nil {
			return "", err
		}
		entry := fmt.Sprintf(`{"service":%q,"address":%q,"state":"ready","db_role":"replica"}`, serviceName, address)
		r.store.PutEntry("i-0f0f0f0f", []byte(entry))
		r.record.printf("store has the entry of another writer: %s", entry)
	}
	r.startWriters(6, 50*time.Millisecond)
	began := time.Now()
	time.Sleep(5 * time.Second)
	if err := r.configure(); err != nil {
		return "", err
	}
	fault := time.Now()
	for _, n := range r.nodes {
		n.signal(syscall.SIGKILL)
	}
	r.lose(r.group.Primary())
	time.Sleep(restartDelay)
	if err := r.awaitReady(); err != nil {
		return "", err
	}
	return r.checkRecovery(began, fault, time.Now())
}
