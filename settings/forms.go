package settings

import (
	"net/netip"
	"regexp"

	"github.com/carawaypitch/carawaypitch/result"
)

// namePattern matches valid names of instances, zones, organisations and classes. Names are used unescaped in logs,
// metrics and URLs.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9]([a-zA-Z0-9._-]{0,62}[a-zA-Z0-9])?$`)

// checkFormat reports a string that doesn't have the format that the options in tag require.
func (c *checker) checkFormat(path, text, tag string) {
	switch {
	case hasTag(tag, tagListen):
		c.checkAddress(path, text, true)
	case hasTag(tag, tagDial):
		c.checkAddress(path, text, false)
	case hasTag(tag, tagDigest):
		c.checkDigest(path, text)
	case hasTag(tag, tagName) && !namePattern.MatchString(text):
		c.report(result.SettingsOutOfRange, path,
			"want 1 to 64 letters, digits, dots, hyphens or underscores, with a letter or digit at both ends")
	case hasTag(tag, tagRequired) && text == "":
		c.report(result.SettingsMissingKey, path, "want a text that isn't empty")
	}
}

// checkAddress reports an address that isn't IP:port. Port 0 and the unspecified IP address are allowed only for an
// address to listen on.
func (c *checker) checkAddress(path, text string, listen bool) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		c.report(result.SettingsBadAddress, path, "want IP:port, such as \"10.0.0.7:8080\", got %q", text)
		return
	}
	if !listen && !dialable(text) {
		c.report(result.SettingsBadAddress, path, "nobody can dial %s: want an IP number and a port", text)
	}
}

func (c *checker) checkDigest(path, text string) {
	if _, err := parseDigest(text); err != nil {
		// The message doesn't contain the value, which may be a key given by mistake instead of its digest.
		c.report(result.SettingsBadDigest, path, "%s", err)
	}
}

// listener is an address that the process listens on, and its path in the settings file.
type listener struct {
	path, address string
}

// checkPortConflicts reports listeners of one process whose addresses can't be bound at the same time.
func (c *checker) checkPortConflicts(listeners ...listener) {
	for i, later := range listeners {
		for _, earlier := range listeners[:i] {
			if addressesConflict(earlier.address, later.address) {
				c.report(result.SettingsPortClash, later.path, "%s is also the address of %s", later.address, earlier.path)
			}
		}
	}
}

func addressesConflict(a, b string) bool {
	first, errA := netip.ParseAddrPort(a)
	second, errB := netip.ParseAddrPort(b)
	if errA != nil || errB != nil || first.Port() != second.Port() || first.Port() == 0 {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

// checkUnique reports each item that equals an earlier one. Empty items aren't compared. The kind names the items in
// the message, and path returns the path of item i.
func (c *checker) checkUnique(kind string, items []string, path func(i int) string) {
	firstIndex := map[string]int{}
	for i, item := range items {
		earlier, found := firstIndex[item]
		if found && item != "" {
			c.report(result.SettingsDuplicateName, path(i), "%s %q stands twice, first at %s", kind, item, path(earlier))
			continue
		}
		firstIndex[item] = i
	}
}

// checkPositive reports a number, size or duration of 0 or less.
func checkPositive[T ~int | ~int64](c *checker, path string, value T) {
	if value <= 0 {
		c.report(result.SettingsOutOfRange, path, "want more than 0")
	}
}

func isUnspecified(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsUnspecified()
}

// dialable reports whether other processes can connect to the address: its IP address is specified and its port isn't
// 0.
func dialable(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified()
}
