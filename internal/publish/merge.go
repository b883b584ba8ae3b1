package publish

import (
	"reflect"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
)

// Merge applies edits that were made from an older configuration to the current
// one.
type Merge struct {
	// Base is the configuration that the edits were made from.
	Base  *config.Config
	Edits []config.Edit
	// Conflicts holds the keys of the objects that others have changed since Base.
	// Edit sets it.
	Conflicts []config.Key
}

// Edit returns the edits that current does not contain yet. When others have
// changed one of their objects since Base, it returns none and sets Conflicts. It
// is a control.EditFunc.
func (m *Merge) Edit(current *config.Config) []config.Edit {
	m.Conflicts = nil
	var edits []config.Edit
	for _, e := range m.Edits {
		before, existed := m.Base.Object(e.Key())
		now, exists := current.Object(e.Key())
		switch {
		case alreadyApplied(e, now, exists):
		case existed != exists || !reflect.DeepEqual(before, now):
			m.Conflicts = append(m.Conflicts, e.Key())
		default:
			edits = append(edits, e)
		}
	}
	if len(m.Conflicts) > 0 {
		return nil
	}
	return edits
}

// alreadyApplied reports whether the current object is what the edit would make it.
func alreadyApplied(e config.Edit, now config.Object, exists bool) bool {
	if e.Put == nil {
		return !exists
	}
	return exists && reflect.DeepEqual(*e.Put, now)
}

var _ control.EditFunc = (*Merge)(nil).Edit
