// Package failover simulates a database group in virtual time: owners that run
// core/group, the members of the group, and the platform's store, in which owners claim
// terms. It measures how long writes are unavailable during a failover, counts
// promotions without a failure, and checks the guarantees that the property tests of
// core/group assert.
//
// All delays, faults and random choices derive from seeds, so runs are
// deterministic. Durations are virtual.
package failover
