package organisation

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func number(v float64) *float64 { return &v }

// Guards against a key that identifies a wrong organisation, or identifies one although no
// organisation holds it.
func TestIdentify(t *testing.T) {
	d, err := NewDirectory([]Entry{
		{Name: "press", Keys: []string{"k1", "k2"}, Rate: number(5), Burst: number(2)},
		{Name: "bindery", Keys: []string{"k3"}},
	})
	assert.NilError(t, err)
	assert.Equal(t, d.Identify(DigestOf("k2")).Name, Name("press"))
	assert.Equal(t, *d.Identify(DigestOf("k1")), Organisation{Name: "press", Limited: true, Rate: 5, Burst: 2})
	assert.Equal(t, *d.Identify(DigestOf("k3")), Organisation{Name: "bindery"})
	assert.Assert(t, d.Identify(DigestOf("k4")) == nil)
	assert.Assert(t, d.Identify(DigestOf("")) == nil)
	assert.Assert(t, d.Identify(DigestOf(strings.Repeat("k", 2*maxKeyBytes))) == nil)
}

// Guards against a faulty configuration that takes effect in part, and against keys in
// error messages, which are logged.
func TestFaultyEntriesAreRefused(t *testing.T) {
	for path, entries := range map[string][]Entry{
		"organisations[1].keys[0]": {{Name: "a", Keys: []string{"secret-key"}}, {Name: "b", Keys: []string{"secret-key"}}},
		"organisations[0].keys[1]": {{Name: "a", Keys: []string{"secret-key", ""}}},
		"organisations[0].keys[0]": {{Name: "a", Keys: []string{strings.Repeat("secret-key", 30)}}},
		"organisations[0]":         {{Name: "a", Rate: number(-1)}},
		"organisations[1].name":    {{Name: "a"}, {Name: "a"}},
	} {
		_, err := NewDirectory(entries)
		assert.ErrorContains(t, err, path+": ")
		assert.Assert(t, !strings.Contains(err.Error(), "secret-key"), err)
	}
}

// Guards against a look-up that allocates for each request.
func TestIdentifyDoesNotAllocate(t *testing.T) {
	d, err := NewDirectory([]Entry{{Name: "a", Keys: []string{"a-key-of-20-characters"}}})
	assert.NilError(t, err)
	assert.Equal(t, testing.AllocsPerRun(100, func() { d.Identify(DigestOf("a-key-of-20-characters")) }), 0.0)
}

func BenchmarkIdentify(b *testing.B) {
	var keys []string
	for i := range 100_000 {
		keys = append(keys, fmt.Sprintf("key-%016d", i))
	}
	d, err := NewDirectory([]Entry{{Name: "a", Keys: keys}})
	assert.NilError(b, err)
	for i := range b.N {
		d.Identify(DigestOf(keys[i%len(keys)]))
	}
}

// Guards against an organisation with a large part of all quotas that one proxy serves alone.
func TestIsLarge(t *testing.T) {
	d, err := NewDirectory([]Entry{{Name: "a", Rate: number(50)}, {Name: "b", Rate: number(10)}, {Name: "c"}})
	assert.NilError(t, err)
	assert.Assert(t, d.IsLarge(d.Lookup("a"), 2))
	assert.Assert(t, !d.IsLarge(d.Lookup("b"), 2))
	assert.Assert(t, d.IsLarge(d.Lookup("b"), 12))
	assert.Assert(t, !d.IsLarge(d.Lookup("c"), 12))
}
