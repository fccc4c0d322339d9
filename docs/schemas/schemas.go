// Package schemas embeds the JSON Schemas of settings and documents. They check
// the form; the rules across fields are checked by package config.
package schemas

import _ "embed"

// Settings is the JSON Schema of the daemon's settings.
//
//go:embed settings.schema.json
var Settings []byte

// Document is the JSON Schema of a service's document.
//
//go:embed document.schema.json
var Document []byte
