// Package docsync replicates configuration documents to every proxy by gossip and
// anti-entropy. It is a deterministic state machine: the runtime (package proxy)
// passes the time, and random numbers derive from the seed.
//
// Two VMs per availability zone watch the store: the first live ones in the zone's
// rendezvous hashing order. The next VMs in that order are standbys. They compare
// with the watchers more often and replace one that does not answer.
//
// A VM that receives a new document announces its revision to a few peers, most of
// them in its zone. A peer that lacks the document requests it and announces it in
// turn, so each VM receives a value about once. Periodic comparison finds what
// announcements miss: every CompareInterval a VM sends the digest of all its
// revisions to a peer. If the digests differ, the two descend a hash tree
// with 16 children per node to the leaves that differ and exchange only the
// revisions of those leaves. A starting VM first fetches all documents from a peer in
// pages, unless its own watch of the store delivers them sooner.
//
// The revisions of a service only increase. A lower revision is refused and
// reported, whether it comes from the store or from a peer.
package docsync
