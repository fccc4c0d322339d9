// Package managed implements the proxy for databases whose primary is appointed by the
// platform. The platform guarantees that a replaced primary stops being one at the
// moment of its replacement, even if it is partitioned. Every proxy can therefore connect
// to the upstreams directly, without an owner per database, and has to establish only two
// things itself:
//
//   - A read needs a minimum log position that covers the commits it must see.
//     core/freshness derives it from confirmed positions: log positions of a member that
//     was confirmed to be the primary after a known instant.
//   - A promotion must not lose an acknowledged commit. core/takeover pauses the replicas
//     before it selects the one with the furthest log position.
//
// Terms used throughout the package:
//
//   - A member is one upstream of a database group.
//   - A gateway is a proxy that connects to a group's upstreams. The other proxies hand
//     their sessions over to a gateway.
//   - A watcher is a proxy that watches the store on behalf of others in its availability
//     zone.
//   - A claim is the leased key that allows one proxy at a time to promote in a database.
//   - The floor of a read is its minimum log position.
//   - A member is confirmed as the primary when it begins a read-write transaction or
//     completes a write, which only the primary can.
//   - The believed primary, named primary in the code, is the member that this proxy takes
//     for the primary. It may have been replaced.
//
// The package is independent of the wire protocols of callers, upstreams and the store;
// it declares what it needs of them as interfaces.
package managed
