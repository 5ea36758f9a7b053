package state

import "unique"

// intern returns one copy of equal strings. Names of instances, organisations and classes stand in every record of
// a keyed request; decoded from a command each would be a copy.
func intern(s string) string {
	return unique.Make(s).Value()
}

func internAll(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = intern(s)
	}
	return out
}
