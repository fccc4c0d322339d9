//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"

	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

// runRecover checks RECOVER: of the requests sent later than recovery_s after the machines are
// back from the final fault, a quarter or more is served.
//
// The final fault kills all processes right after a configuration was acknowledged. The primary
// is replaced as planned meanwhile. The successor is lost for good after its promotion was
// ordered and before it takes effect.
func runRecover(r *run) (string, error) {
	const replacement, servers = 3, 4
	if err := r.start(append(append([]string{}, zones...), zones[0]), func(g *standin.Group) {
		prepareReplacement(g.Member(replacement))
	}); err != nil {
		return "", err
	}
	r.startWriters(6, 50*time.Millisecond)
	began := time.Now()
	time.Sleep(5 * time.Second)
	primary := r.group.Primary()
	r.beginRelease(r.group.Member(replacement))
	time.Sleep(time.Second)
	if err := r.configure(); err != nil {
		return "", err
	}
	fault := time.Now()
	for _, n := range r.nodes {
		n.signal(syscall.SIGKILL)
	}
	time.Sleep(200 * time.Millisecond)
	r.leave(primary, 3*time.Second)
	time.Sleep(restartDelay)
	if err := r.awaitReady(); err != nil {
		return "", err
	}
	back := time.Now()
	order, err := r.awaitPromotionOrder(0, 10*time.Second)
	if err != nil {
		return "", err
	}
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		r.lose(r.serverNamed(order.target, servers))
	}
	return r.checkRecovery(began, fault, back)
}

// observedTime is how long requests are counted after the recovery time.
const observedTime = 25 * time.Second

// checkRecovery compares what was served before the final fault, from began on, with what is
// served later than the recovery time after the machines are back.
func (r *run) checkRecovery(began, fault, back time.Time) (string, error) {
	from := back.Add(recoveryTime)
	time.Sleep(time.Until(from.Add(observedTime)))
	for _, w := range r.writers {
		w.stop()
	}
	servedBefore, sentBefore := r.servedBetween(began, fault.Add(-time.Second))
	served, sent := r.servedBetween(from, time.Now())
	r.record.printf("before the final fault %d of %d operations were served; of those sent later than %v after the machines were back %d of %d", servedBefore, sentBefore, recoveryTime, served, sent)
	switch {
	case 4*servedBefore < sentBefore || sent == 0:
		return "", fmt.Errorf("before the final fault %d of %d operations were served", servedBefore, sentBefore)
	case 4*served < sent:
		return fmt.Sprintf("RECOVER: %d of %d operations served, before the final fault %d of %d", served, sent, servedBefore, sentBefore), nil
	}
	return "", nil
}
