// Package upstream is a stand-in for one member of a database group: a small
// PostgreSQL v3 server, the control service of api/control/v1, asynchronous
// replication between members, limits and fault switches. It is meant for tests
// and the demo only and listens on loopback.
package upstream
