//go:build review

package main

import (
	"fmt"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

// runLost checks LOST: an acknowledged commit is in the log of the server that is promoted.
//
// The primary is replaced as planned. The successor is lost for good after the promotion was
// ordered and before it takes effect, and the machine that ordered it is stopped as planned.
func runLost(r *run) (string, error) {
	const replacement, servers = 3, 4
	if err := r.start(append(append([]string{}, zones...), zones[0]), func(g *standin.Group) {
		prepareReplacement(g.Member(replacement))
	}); err != nil {
		return "", err
	}
	r.startWriters(6, 20*time.Millisecond)
	time.Sleep(4 * time.Second)
	primary := r.group.Primary()
	r.beginRelease(r.group.Member(replacement))
	time.Sleep(time.Second)
	r.leave(primary, 3*time.Second)
	order, err := r.awaitPromotionOrder(0, 5*time.Second)
	if err != nil {
		return "", err
	}
	time.Sleep(600 * time.Millisecond)
	if r.trouble {
		r.lose(r.serverNamed(order.target, servers))
	}
	time.Sleep(100 * time.Millisecond)
	r.nodeNamed(order.holder).roll()
	time.Sleep(16 * time.Second)
	for _, w := range r.writers {
		w.stop()
	}
	return r.checkLost()
}

// checkLost reads every item back whose write was acknowledged.
func (r *run) checkLost() (string, error) {
	acknowledged, missing, unread := 0, 0, 0
	for _, o := range r.operations() {
		if !o.served {
			continue
		}
		acknowledged++
		limit := 5 * time.Second
		if unread > 0 {
			limit = 50 * time.Millisecond
		}
		value, err := r.readBack(o.item, limit)
		switch {
		case err != nil:
			unread++
			r.record.printf("item %s cannot be read: %v", o.item, err)
		case value != o.value:
			missing++
			r.record.printf("item %s was acknowledged as %s and reads as %s", o.item, o.value, value)
		}
	}
	// A commit is listed again for each later promotion.
	lost := r.group.LostCommits()
	slices.Sort(lost)
	lost = slices.Compact(lost)
	for _, position := range lost {
		r.record.printf("server commit %s was acknowledged and is not in the log of the promoted server", position)
	}
	r.record.printf("%d writes acknowledged, %d of them missing, %d not readable, %d commits lost in a promotion", acknowledged, missing, unread, len(lost))
	switch {
	case acknowledged == 0:
		return "", fmt.Errorf("no write was acknowledged")
	case len(lost) > 0:
		return fmt.Sprintf("LOST: %d acknowledged commits are not in the log of the promoted server; %d of %d acknowledged writes read back as missing", len(lost), missing, acknowledged), nil
	}
	return "", nil
}
