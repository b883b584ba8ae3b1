package sessions

import (
	"flag"
	"os"
	"testing"
)

var (
	update  = flag.Bool("update", false, "rewrite the golden files")
	verbose = flag.Bool("sessions.trace", false, "print every message of the randomised runs")
)

// TestMain fixes the seed of the randomised runs unless one is given, so that a
// run has the same verdict every time.
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
