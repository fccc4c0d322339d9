// Package fleet measures core/membership and core/docsync on virtual time: up to
// 1,000 instances in one process, a simulated network with delay and loss, and a
// simulated store. Bytes are the protobuf-encoded sizes of messages, without the
// framing of HTTP/2, TCP and IP.
package fleet
