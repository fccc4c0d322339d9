// Package config defines the settings of the proxy daemon and the configuration
// documents of services, with a strict JSON decoder for both.
//
// The decoder rejects unknown and duplicate fields, wrong types and units, and
// values out of range. It does not stop at the first validation error (fault) but
// reports up to MaxFaults of them, each with the JSON path, the value found and the
// accepted values.
package config
