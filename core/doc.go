// Package core is the decision core of the proxy. It routes requests to the
// proxy that owns their database, schedules them onto upstream connections,
// confirms writes and drives failover.
//
// Node.Tick is a pure function of the node's state, the time and the inputs. It
// does no I/O, starts no goroutine and reads no clock, so that a recorded trace
// of inputs replays to the same outputs. The runtime that calls it (package
// internal/proxy) does the I/O: it collects Inputs and carries out Outputs.
//
// Terms:
//   - The owner of a database is the proxy that runs its requests. Package
//     membership chooses it by rendezvous hashing ("hash order"). The other
//     proxies forward requests to the owner over a stream.
//   - A batch is the group of protocol messages that a request sends to the
//     upstream.
//   - A slot is the upstream's capacity to execute one batch.
//   - A term has at most one primary. Each promotion uses a higher term, at which
//     it first fences a majority of the members: they refuse writes of lower terms.
//   - A probe round asks all members of a database group for their status. It is
//     confirmed if a majority answers, the primary among them, and no member
//     reports a higher term.
//   - The floor of a read is the lowest log position that it must see.
//   - The ledger is a table in the upstream in which the transaction of a write
//     stores its request id, so that a second execution fails.
//
// Invariants:
//   - A request has exactly one Result.
//   - ResultNotRun is given only for requests that were never dispatched, or
//     whose dispatch the upstream rejected or never received.
//   - A request that is not repeatable is dispatched again only after such proof,
//     or with the ledger.
//   - ResultDone for a write, other than a statement of a transaction that stays
//     open, follows a probe round that started after the upstream's response and
//     was confirmed.
//   - A connection carries one caller's transaction at a time.
package core
