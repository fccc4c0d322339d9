// Package telemetry implements the daemon's metrics, its HTTP endpoints for metrics and
// health, a non-blocking log writer and a limiter for repeated log lines.
//
// Metric labels are class, rank, database, service, kind, reason, source, replica_allowed,
// role and organisation. Their values come from documents and from constants of the program; reasons
// that peers send are limited in number. This bounds the number of series. Sessions,
// request ids and callers are never labels.
package telemetry
