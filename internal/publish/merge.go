package publish

import (
	"reflect"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/control"
)

// Merge is a change made from an older configuration.
type Merge struct {
	// Base is the configuration that the edits were made from.
	Base  *config.Config
	Edits []config.Edit
	// Conflicts names the objects that somebody else has changed since. It is
	// filled in by Edit.
	Conflicts []config.Key
}

// Edit returns the edits that are still to be made, or none when one of their
// objects has been changed since. It is a control.EditFunc.
func (m *Merge) Edit(current *config.Config) []config.Edit {
	m.Conflicts = nil
	var edits []config.Edit
	for _, e := range m.Edits {
		before, had := m.Base.Object(e.Key())
		now, has := current.Object(e.Key())
		switch {
		case made(e, now, has):
		case had != has || !reflect.DeepEqual(before, now):
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

// made reports whether an edit has been made already.
func made(e config.Edit, now config.Object, has bool) bool {
	if e.Put == nil {
		return !has
	}
	return has && reflect.DeepEqual(*e.Put, now)
}

var _ control.EditFunc = (*Merge)(nil).Edit
