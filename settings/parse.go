package settings

// ParseEntry parses and checks the settings of an entry, like LoadEntry. file is
// the name that errors give.
func ParseEntry(file string, data []byte) (Entry, error) { return parseEntry(file, data) }

// ParseAgent parses and checks the settings of an agent, like LoadAgent. file is
// the name that errors give.
func ParseAgent(file string, data []byte) (Agent, error) { return parseAgent(file, data) }
