package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain runs the property tests with a fixed seed unless -rapid.seed is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// replacementValues are inserted into valid inputs by mutate. Some are not valid JSON.
var replacementValues = []string{`0`, `-1`, `1e999`, `0.2`, `null`, `true`, `""`, `"1s"`, `"shop_orders"`, `"browsing"`, `[]`, `{}`, `[[`, `}`, `"\ud800"`, "\xff"}

// mutate returns a copy of a valid input in which up to 4 ranges of up to 30 bytes are
// replaced by values of replacementValues.
func mutate(t *rapid.T, valid []byte) []byte {
	data := slices.Clone(valid)
	for range rapid.IntRange(0, 4).Draw(t, "edits") {
		from := rapid.IntRange(0, len(data)).Draw(t, "from")
		to := min(len(data), from+rapid.IntRange(0, 30).Draw(t, "length"))
		value := rapid.SampledFrom(replacementValues).Draw(t, "value")
		data = slices.Concat(data[:from], []byte(value), data[to:])
	}
	return data
}

// Checks that mutated inputs cause no panic and no error without a fault, and that
// accepted values survive encoding and decoding.
func TestDecodersOnMutatedInputs(t *testing.T) {
	document, settings := example(t, "castellano-shop.json"), example(t, "settings.json")
	checkRoundTrip := func(t *rapid.T, value any, decode func([]byte) (any, error), err error) {
		var faults *Error
		if err != nil {
			assert.Assert(t, errors.As(err, &faults) && len(faults.Faults) > 0)
			return
		}
		data, err := json.Marshal(value)
		assert.NilError(t, err)
		decodedAgain, err := decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decodedAgain, value)
	}
	rapid.Check(t, func(t *rapid.T) {
		doc, err := DecodeDocument(mutate(t, document))
		checkRoundTrip(t, doc, func(data []byte) (any, error) { return DecodeDocument(data) }, err)
		decodedSettings, err := DecodeSettings(mutate(t, settings))
		checkRoundTrip(t, decodedSettings, func(data []byte) (any, error) { return DecodeSettings(data) }, err)
	})
}

func drawDuration(t *rapid.T, low, high time.Duration) Duration {
	return Duration(time.Duration(rapid.Int64Range(int64(low/time.Microsecond), int64(high/time.Microsecond)).Draw(t, "us")) * time.Microsecond)
}

func drawDocument(t *rapid.T) *Document {
	doc := &Document{
		Service:    rapid.StringMatching(`[a-z0-9][a-z0-9._-]{0,62}`).Draw(t, "service"),
		RetryRatio: rapid.Float64Range(0, 1).Draw(t, "ratio"),
		MaxQueued:  rapid.IntRange(1, 1_000_000).Draw(t, "queued"),
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "ranks") {
		doc.Ranks = append(doc.Ranks, Rank{Name: fmt.Sprint("r", i), Worth: int64(1 + i),
			TargetLatency: drawDuration(t, time.Millisecond, time.Hour), KeptShare: rapid.Float64Range(0, 0.25).Draw(t, "share")})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "classes") {
		class := Class{Name: fmt.Sprint("c", i), Rank: rapid.SampledFrom(doc.Ranks).Draw(t, "rank").Name,
			Access: AccessWrite, Ack: AckMajority, Ledger: true, Timeout: drawDuration(t, time.Second, time.Hour),
			ExpectedCost: drawDuration(t, time.Microsecond, time.Second)}
		if rapid.Bool().Draw(t, "read") {
			class.Access, class.Ack, class.Ledger, class.MaxAge = AccessRead, "", false, drawDuration(t, time.Millisecond, 24*time.Hour)
			class.Repeatable = rapid.Bool().Draw(t, "repeatable")
		}
		doc.Classes = append(doc.Classes, class)
	}
	db := Database{Name: "d", UpstreamUser: "u", DefaultClass: "c0"}
	db.Users = rapid.MapOfN(rapid.StringMatching(`[A-Za-z0-9_][A-Za-z0-9_.@-]{0,9}`), rapid.Just("c0"), 1, 5).Draw(t, "users")
	for i := range 3 {
		db.Upstreams = append(db.Upstreams, Upstream{Name: fmt.Sprint("u", i), Address: fmt.Sprint("10.0.0.", i, ":1"),
			ControlAddress: fmt.Sprint("10.0.0.", i, ":2"), AvailabilityZone: "z", Slots: 1 + i, Connections: 40})
	}
	doc.Databases = []Database{db}
	return doc
}

// Guards against values, in particular durations in any unit, that are lost or changed
// by encoding and decoding.
func TestDocumentRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := drawDocument(t)
		data, err := json.Marshal(doc)
		assert.NilError(t, err)
		decoded, err := DecodeDocument(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, doc)
		differences, err := Differences(doc, decoded)
		assert.NilError(t, err)
		assert.Equal(t, len(differences), 0)
	})
}

// Guards against a decoder that stops at the first fault, and an unbounded list of
// faults.
func TestAllFaultsAreReported(t *testing.T) {
	_, err := DecodeSettings([]byte(`{"vm": 1, "region": "a b", "seed": -1, "color": "red", "color": "blue"}`))
	var paths []string
	for _, fault := range err.(*Error).Faults {
		paths = append(paths, fault.Path)
	}
	assert.DeepEqual(t, paths, []string{"$.color", "$.vm", "$.availability_zone", "$.region", "$.platform_addresses", "$.seed", "$.color"})

	_, err = DecodeSettings([]byte(`{` + strings.Repeat(`"x":1,`, 100) + `"x":1}`))
	assert.Equal(t, len(err.(*Error).Faults), MaxFaults)
	assert.Equal(t, err.(*Error).Omitted, 100+5-MaxFaults)
	assert.ErrorContains(t, err, "; 73 more faults")
}

// Guards against additional faults caused by missing values, and against documents of
// unbounded size.
func TestDocumentLimits(t *testing.T) {
	_, err := DecodeDocument([]byte(`{"service": "s", "ranks": [{}, {}], "classes": [], "databases": []}`))
	assert.Equal(t, len(err.(*Error).Faults), 2*3+2, err.Error())
	_, err = DecodeDocument(bytes.Repeat([]byte(" "), MaxDocumentBytes+1))
	assert.ErrorContains(t, err, "at most 262144 bytes")
	_, err = Duration(time.Nanosecond).MarshalText()
	assert.ErrorContains(t, err, "parts of a microsecond")
	users := map[string]string{}
	for i := range MaxUsers + 1 {
		users[fmt.Sprint("u", i)] = "checkout-read"
	}
	doc, err := DecodeDocument(example(t, "castellano-shop.json"))
	assert.NilError(t, err)
	doc.Databases[0].Users = users
	data, err := json.Marshal(doc)
	assert.NilError(t, err)
	_, err = DecodeDocument(data)
	assert.ErrorContains(t, err, "$.databases[0].users is an object with 1025 fields")
}

// Guards against syntax errors without their position, and against unbounded nesting
// or size.
func TestMalformedInputs(t *testing.T) {
	for input, want := range map[string]string{
		"{\n \"vm\": }":           "malformed at line 2, column 8",
		"":                        "malformed at line 1, column 0",
		"{} {}":                   "malformed at line 1, column 4",
		`{"vm": "a",}`:            "malformed at line 1, column 12",
		strings.Repeat("[", 9000): "malformed at line 1",
		strings.Repeat("[", 20) + "1" + strings.Repeat("]", 20): "nested too deeply",
		`"` + strings.Repeat("a", MaxSettingsBytes) + `"`:       "65538 bytes long",
		"\"\xff\"": "not valid UTF-8",
		strings.Repeat(`{"a":`, 20) + "1" + strings.Repeat("}", 20): "nested too deeply",
		"[]": "$ is an array of 0, allowed: an object",
	} {
		_, err := DecodeSettings([]byte(input))
		assert.ErrorContains(t, err, want)
	}
}

// Guards against differences that are missed or have the wrong path, and against
// differences for a changed order of elements.
func TestDifferences(t *testing.T) {
	before, err := DecodeDocument(example(t, "castellano-shop.json"))
	assert.NilError(t, err)
	after, err := DecodeDocument(example(t, "castellano-shop.json"))
	assert.NilError(t, err)
	slices.Reverse(after.Classes)
	after.Classes[0].MaxAge = Duration(time.Second)
	after.Classes[0].Access = AccessRead
	after.Databases[0].Users["a.b"] = "checkout-read"
	after.Ranks = after.Ranks[:2]
	after.MaxQueued = 5
	differences, err := Differences(before, after)
	assert.NilError(t, err)
	assert.DeepEqual(t, differences, []Difference{
		{`$.classes[?@.name=="catalog-write"].access`, `"write"`, `"read"`},
		{`$.classes[?@.name=="catalog-write"].max_age`, absent, `"1s"`},
		{`$.databases[?@.name=="shop_orders"].users["a.b"]`, absent, `"checkout-read"`},
		{`$.max_queued`, `10000`, `5`},
		{`$.ranks[?@.name=="browsing"]`, `{"kept_share":0.2,"name":"browsing","target_latency":"2s","worth":1}`, absent},
	})
}
