package quota

import "time"

// leasesPerWindow is the ratio of the window to the lease time. Longer leases leave less
// of the bound for the refill, shorter ones need more messages.
const leasesPerWindow = 20

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

// Refill returns the tokens that a bucket gains per second. Half of the spare capacity makes
// up for tokens that expire; the rest is reserved for limiters that overlap for a moment. An
// organisation without any quota gets no tokens.
func (p Parameters) Refill(l Limits) float64 {
	if l.Rate <= 0 && l.Burst <= 0 {
		return 0
	}
	span := (p.Window + p.Lease()).Seconds()
	available := p.Bound(l) - l.Burst
	if available < l.Rate*span {
		return available / span
	}
	return l.Rate + (available-l.Rate*span)/(2*span)
}

// Capacity returns the maximum number of tokens in a bucket.
func (p Parameters) Capacity(l Limits) float64 {
	if l.Rate <= 0 && l.Burst <= 0 {
		return 0
	}
	return max(1, l.Burst)
}
