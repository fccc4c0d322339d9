// Package quota runs the quota decisions of core/quota: it carries their messages over HTTP,
// wakes operations that wait for tokens, and reports what was decided.
package quota
