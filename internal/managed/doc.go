// Package managed is the daemon in front of databases whose leadership the
// platform arbitrates: a primary that was replaced stops being one at that
// moment, whatever it can reach. Every proxy therefore reaches the upstreams
// itself, without an owner per database, and proves only what the arbiter
// leaves open:
//
//   - A read needs a position that covers the commits it must see. core/freshness
//     derives it from proofs that the primary led at a known instant.
//   - A promotion must not lose an acknowledged commit. core/takeover fences the
//     replicas before it names the one that is furthest.
//
// The package knows neither the wire of callers and upstreams nor that of the
// store; it states what it needs of them as interfaces.
package managed
