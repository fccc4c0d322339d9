// Package membership holds a VM's view of the other VMs that run the proxy: the
// platform's list of VMs, which may be out of date, heartbeats, the order in which VMs
// own each database, and the grants that let an owner rely on its own tables of sessions
// and request ids to cover every acknowledged write. The package is a pure state machine:
// instants are arguments and are not negative, and random numbers come from a seed.
//
// # Cells
//
// A full mesh of heartbeats costs too much at 5,000 VMs. A binary trie over the
// hashes of the listed VMs therefore divides them into cells. A node of the trie
// with more than Config.Candidates VMs is split if each half has at least a quarter
// of Candidates and spans three availability zones (or all, if there are fewer).
// The zone rule is waived above twice Candidates. A database belongs to the cell
// that its own hash falls into; the VMs of that cell are its candidate owners, in
// the order of rendezvous hashing ("hash order"). A change of one VM in the list
// therefore changes at most one cell, apart from a split of a cell or a merge of
// two. Heartbeats and grants are exchanged only within a cell. A VM outside the cell
// learns of failures when it uses a VM (ReportSilent) and from the list; it probes
// the VMs that it reported until they answer.
//
// # Grants
//
// A reply to a heartbeat carries a grant: the replier acknowledges no write, as owner
// of a database for which the requester precedes it in hash order, from one grant time
// (Config.GrantTTL) before the reply until one grant time after it. MayAcknowledge
// blocks grants to all VMs that precede this one for the database, and waits until
// those already given have expired. The holder counts the grant from the time at which
// it sent the heartbeat, and leaves one part in clockMarginDivisor unused, so that it
// stops before the replier starts even if both clocks are 1% off. A draining VM that no
// longer acts as owner grants all databases. A restarted VM does not know the grants
// of its earlier incarnation and waits for one grant time. Expiry depends only on the
// clock, so a paused VM finds its grants expired when it resumes, provided that its
// clock runs on during the pause. Answers of Exclusive and MayAcknowledge are valid
// only at the instant for which they were given.
//
// Exclusive needs a grant from every candidate. The candidates are the VMs of the
// cell, those that sent this VM a heartbeat other than a probe within RetireAfter,
// those that left the cell within RetireAfter, and all that a replier names as its
// members. A VM that precedes this one for the database grants only while it drains.
// Hence only the first VM in hash order is exclusive, and the successor of a failed VM
// becomes exclusive RetireAfter after the list drops that VM.
//
// # Different lists
//
// Grants alone do not suffice when lists differ: a VM C that is partitioned off may
// act as owner although it is missing from the list of the grant holder R and from the
// lists of all VMs that R hears from. So MayAcknowledge also needs a quorum: replies
// from a majority of C's cell, C included, to heartbeats sent within QuorumLease, the
// first of them more than a grant time ago. Leaving VMs count as VMs of the cell.
// If the cell is more than three quarters full, a majority of the database's half of
// the cell is needed as well, since a few more VMs in R's list would split the cell.
// A VM Y that replied to C keeps C as a candidate for RetireAfter, which exceeds
// QuorumLease by more than the clock error.
//
// Assume that R is exclusive while C may acknowledge. If C is among R's candidates,
// either R precedes C and C waits for the grant that R holds to expire, or C precedes R
// and R holds no grant of C. If C is not among them, let Y be a VM of C's quorum that
// is also a candidate of R, or R itself. Y recorded C more than a grant time before C
// acted, so each grant of Y that R still holds came with a reply that names C, or
// without names because Y's members equal those of R. In both cases C is a candidate of
// R, which is a contradiction.
//
// Such a Y exists if, for the database's cell, the lists of C and R differ by fewer VMs
// than a majority of C's cell (or of its half) leaves out, and if Y did not restart
// between its two replies. Lists that differ by more are not covered. A minority that
// is partitioned from its cell stops acknowledging after QuorumLease, unless a newer list
// shrinks the cell to the VMs that it reaches.
package membership
