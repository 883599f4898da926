package settings

// ParseEntry reads and checks the settings of an entry, like LoadEntry. The
// name of the file is used in errors.
func ParseEntry(file string, data []byte) (Entry, error) { return parseEntry(file, data) }

// ParseAgent reads and checks the settings of an agent, like LoadAgent. The
// name of the file is used in errors.
func ParseAgent(file string, data []byte) (Agent, error) { return parseAgent(file, data) }
