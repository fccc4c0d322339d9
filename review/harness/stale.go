//go:build review

package main

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

// runStale checks LOST: an acknowledged commit is in the log of the server that is promoted.
//
// The three servers of a service are replaced one after the other, as planned. Meanwhile the
// store turns one machine away for 5.5 s and serves the others.
func runStale(r *run) (string, error) {
	// The replacements' names come first, so that the proxies prefer them among replicas with
	// equal logs.
	leaving, replacements := []int{0, 4, 5}, []int{1, 2, 3}
	if err := r.start([]string{zones[0], zones[0], zones[1], zones[2], zones[1], zones[2]}, func(g *standin.Group) {
		for _, i := range replacements {
			prepareReplacement(g.Member(i))
		}
	}); err != nil {
		return "", err
	}
	r.startWriters(6, 20*time.Millisecond)
	time.Sleep(4 * time.Second)
	rejected := r.nodes[len(r.nodes)-1]
	if r.trouble {
		r.record.printf("store turns %s away", rejected.name)
		r.store.RejectProxy(rejected.name)
		time.AfterFunc(5500*time.Millisecond, func() {
			r.store.AcceptProxy(rejected.name)
			r.record.printf("store serves %s again", rejected.name)
		})
	}
	time.Sleep(100 * time.Millisecond)
	for i := range leaving {
		r.beginRelease(r.group.Member(replacements[i]))
		m := r.group.Member(leaving[i])
		time.AfterFunc(time.Second, func() { r.leave(m, 3*time.Second) })
		time.Sleep(time.Second)
	}
	time.Sleep(12 * time.Second)
	for _, w := range r.writers {
		w.stop()
	}
	for _, order := range r.store.Promotions() {
		r.record.printf("platform accepted promotion: %s", order)
	}
	return r.checkLost()
}
