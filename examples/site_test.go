package examples_test

import (
	"os"
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/internal/configfile"
)

// TestSiteIsAConfiguration checks that the example configuration is valid.
func TestSiteIsAConfiguration(t *testing.T) {
	data, err := os.ReadFile("site.ini")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := configfile.Parse("site.ini", data); err != nil {
		t.Error(err)
	}
}
