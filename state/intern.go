package state

import "unique"

// intern returns a shared copy of equal strings. Names of instances, organisations and classes occur in every record
// of a keyed request; without interning, each decoded command would add its own copy.
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
