package quota

import "time"

// leasesPerWindow is the ratio of the window to the lease time. Longer leases leave less
// of the bound for the refill, shorter ones need more messages.
const leasesPerWindow = 40

// Parameters are the bounds of the deployment.
type Parameters struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Overage is the tolerated fraction above the quota, Slack the tolerated number of
	// operations beyond that.
	Overage, Slack float64
}

// Limits are the quota of one organisation: operations per second, and operations that may
// come at once after a pause.
type Limits struct{ Rate, Burst float64 }

// Lease is the time after the sending of a request at which the granted tokens expire.
func (p Parameters) Lease() time.Duration { return p.Window / leasesPerWindow }

// Bound is the maximum number of operations in any window.
func (p Parameters) Bound(l Limits) float64 {
	return (l.Rate*p.Window.Seconds()+l.Burst)*(1+p.Overage) + p.Slack
}

// spare returns what the bound leaves beyond the burst and the rate over a window and a
// lease time. It may be negative.
func (p Parameters) spare(l Limits) float64 {
	return p.Bound(l) - l.Burst - l.Rate*(p.Window+p.Lease()).Seconds()
}

// none reports whether an organisation may run nothing.
func (l Limits) none() bool { return l.Rate <= 0 && l.Burst <= 0 }

// extra returns a part of the spare, 0 if there is none.
func (p Parameters) extra(l Limits, part float64) float64 { return max(0, p.spare(l)*part) }

// Refill returns the tokens that a bucket gains per second: the rate, and half of the spare,
// which makes up for tokens that expire. In a window and a lease time, refill and
// capacity together stay within the bound.
func (p Parameters) Refill(l Limits) float64 {
	if l.none() {
		return 0
	}
	span := (p.Window + p.Lease()).Seconds()
	return min(l.Rate+p.extra(l, refillPart)/span, (p.Bound(l)-p.Capacity(l))/span)
}

// Capacity returns the maximum number of tokens in a bucket: the burst, and an eighth of the
// spare. Without the latter a bucket of a small burst holds fewer tokens than a holder
// spends until the next answer.
func (p Parameters) Capacity(l Limits) float64 {
	if l.none() {
		return 0
	}
	return min(max(1, l.Burst+p.extra(l, capacityPart)), p.Bound(l))
}

// refillPart and capacityPart are the parts of the spare that the refill and the capacity get.
// The rest is in reserve for limiters that overlap for a moment.
const (
	refillPart   = 0.5
	capacityPart = 0.125
)
