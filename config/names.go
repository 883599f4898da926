package config

import "fmt"

// UniqueNames returns a unique name that a document accepts for each wanted one:
// the wanted name if it is accepted and no earlier one is equal, otherwise
// PREFIX-INDEX, with a further number if that name is wanted or taken.
func UniqueNames(wanted []string, prefix string) []string {
	taken, used := map[string]bool{}, map[string]bool{}
	for _, name := range wanted {
		taken[name] = true
	}
	out := make([]string, len(wanted))
	for i, name := range wanted {
		if !acceptedName(name) || used[name] {
			name = fmt.Sprintf("%s-%d", prefix, i)
			for n := 1; taken[name]; n++ {
				name = fmt.Sprintf("%s-%d-%d", prefix, i, n)
			}
			taken[name] = true
		}
		used[name] = true
		out[i] = name
	}
	return out
}
