// Package quota limits the operations that an organisation runs in a sliding window, summed
// over all proxies.
//
// One proxy, the limiter of an organisation, keeps its token bucket. The others, its
// holders, lease tokens in small batches and spend one for each operation. A lease ends a
// fixed time after its request was sent, so the operations in a window are at most the
// tokens granted in the window and one lease time before it.
//
// The package responds to an organisation that sends more than its quota, and to limiters
// that restart, freeze or cannot be reached. Callers pass the time and carry the messages:
// a Node returns what is to be sent as effects.
//
// Invariants:
//   - A bucket starts empty, and its refill and capacity together stay below the bound in
//     any window and lease time.
//   - A proxy that has just started does not grant tokens while older proxies can, because
//     other proxies may not have it in their lists.
//   - A proxy that is not the first candidate grants tokens only while neither it nor two
//     other proxies reach the first one.
package quota
