package docsync

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid unless -rapid.seed is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
