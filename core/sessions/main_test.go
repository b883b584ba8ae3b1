package sessions

import (
	"flag"
	"os"
	"testing"
)

var (
	update  = flag.Bool("update", false, "rewrite the golden files")
	verbose = flag.Bool("sessions.trace", false, "print every message of the randomized sessions")
)

// TestMain sets a fixed seed for the randomized tests unless one is given, so that
// every execution gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		if err := flag.Set("rapid.seed", "20261203"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
