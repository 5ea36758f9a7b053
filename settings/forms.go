package settings

import (
	"net/netip"
	"regexp"

	"github.com/carawaypitch/carawaypitch/result"
)

// namePattern is the form of names of instances, zones, organisations and classes. They go into logs, metrics and
// URLs as they are.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9]([a-zA-Z0-9._-]{0,62}[a-zA-Z0-9])?$`)

// form checks the form of one string.
func (c *checker) form(path, text, tag string) {
	switch {
	case hasTag(tag, tagListen):
		c.address(path, text, true)
	case hasTag(tag, tagDial):
		c.address(path, text, false)
	case hasTag(tag, tagDigest):
		c.digest(path, text)
	case hasTag(tag, tagName) && !namePattern.MatchString(text):
		c.add(result.SettingsOutOfRange, path,
			"want 1 to 64 letters, digits, dots, hyphens or underscores, with a letter or digit at both ends")
	case hasTag(tag, tagRequired) && text == "":
		c.add(result.SettingsMissingKey, path, "want a text that isn't empty")
	}
}

// address checks IP:port. Where a process listens, port 0 and the unspecified IP number are allowed; where it
// dials, they aren't.
func (c *checker) address(path, text string, listen bool) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		c.add(result.SettingsBadAddress, path, "want IP:port, such as \"10.0.0.7:8080\", got %q", text)
		return
	}
	if !listen && !dialable(text) {
		c.add(result.SettingsBadAddress, path, "nobody can dial %s: want an IP number and a port", text)
	}
}

func (c *checker) digest(path, text string) {
	if _, err := parseDigest(text); err != nil {
		// The text isn't repeated: somebody may have written the key itself.
		c.add(result.SettingsBadDigest, path, "%s", err)
	}
}

// listener is a place where the process listens.
type listener struct {
	path, address string
}

// portClash finds two listeners of one process that can't both be opened.
func (c *checker) portClash(listeners ...listener) {
	for i, later := range listeners {
		for _, earlier := range listeners[:i] {
			if clash(earlier.address, later.address) {
				c.add(result.SettingsPortClash, later.path, "%s is also the address of %s", later.address, earlier.path)
			}
		}
	}
}

func clash(a, b string) bool {
	first, errA := netip.ParseAddrPort(a)
	second, errB := netip.ParseAddrPort(b)
	if errA != nil || errB != nil || first.Port() != second.Port() || first.Port() == 0 {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

// unique finds an item that equals an earlier one.
func (c *checker) unique(what string, items []string, path func(i int) string) {
	first := map[string]int{}
	for i, item := range items {
		earlier, found := first[item]
		if found && item != "" {
			c.add(result.SettingsDuplicateName, path(i), "%s %q stands twice, first at %s", what, item, path(earlier))
			continue
		}
		first[item] = i
	}
}

// positive checks numbers, sizes and durations that must not be 0.
func positive[T ~int | ~int64](c *checker, path string, value T) {
	if value <= 0 {
		c.add(result.SettingsOutOfRange, path, "want more than 0")
	}
}

func isUnspecified(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsUnspecified()
}

// dialable tells whether the address names one IP number and port.
func dialable(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified()
}
