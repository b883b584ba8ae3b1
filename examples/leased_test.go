package examples_test

import (
	"testing"

	"github.com/dogwoodgauge/dogwoodgauge/internal/settings"
)

// TestLeasedSettingsAreValid checks that the example settings are valid for their roles.
func TestLeasedSettingsAreValid(t *testing.T) {
	for path, want := range map[string]settings.Role{"dispatcher.ini": settings.RoleDispatcher, "lessee.ini": settings.RoleLessee} {
		if role, err := settings.Check(path); role != want || err != nil {
			t.Errorf("%s: got role %q, error %v", path, role, err)
		}
	}
}
