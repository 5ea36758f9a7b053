package settings

import (
	"fmt"
	"reflect"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings/jsonc"
)

// Log says what a process writes to its log.
type Log struct {
	// Level is the lowest level written: debug, info, warn, error or fatal. Default info.
	Level log.Level `json:"level"`
}

// Organisation is a member of the consortium.
type Organisation struct {
	// Name is the organisation's name in logs, metrics and reports.
	Name string `json:"name" settings:"required,name"`
	// KeyDigests are the digests of its keys, see NewDigest. Several allow a key to be replaced without a gap.
	KeyDigests []string `json:"key_digests" settings:"required,digest"`
	// DefaultClass is the class of a request that names none. Empty: such a request is refused.
	DefaultClass string `json:"default_class"`
}

// Default timings that several roles share.
const (
	defaultHeartbeat = 250 * time.Millisecond
	defaultCutOff    = 2 * time.Second
	defaultDrain     = 30 * time.Second
	defaultLease     = 2 * time.Second
)

// minHeartbeats is how many heartbeats must fit into a bound on silence.
//
// With fewer, one late message looks like a dead process: links would flap and leases end under work that is well.
const minHeartbeats = 3

// silence checks a bound on silence against the heartbeat.
func (c *checker) silence(path string, bound, heartbeat time.Duration) {
	if heartbeat > 0 && bound < minHeartbeats*heartbeat {
		c.add(result.SettingsOutOfRange, path, "want at least %d heartbeats, which is %s, got %s",
			minHeartbeats, minHeartbeats*heartbeat, bound)
	}
}

// organisationsFile is the form of the file that organisations_file names.
type organisationsFile struct {
	// Organisations are the members of the consortium.
	Organisations []Organisation `json:"organisations" settings:"required"`
}

// organisations checks the list, or the one of the file if a file is given. It puts that list in place of both.
func (c *checker) organisations(list *[]Organisation, file *string) {
	if *file != "" && len(*list) > 0 {
		c.add(result.SettingsOutOfRange, "organisations_file", "give organisations or organisations_file, not both")
		return
	}
	if *file == "" {
		c.checkOrganisations(*list)
		return
	}
	*list = c.readOrganisations(*file)
	*file = ""
}

func (c *checker) readOrganisations(file string) []Organisation {
	data, err := c.read(file)
	if err != nil {
		c.add(result.SettingsUnreadable, "organisations_file", "%s", err)
		return nil
	}
	text, err := jsonc.Parse(data)
	if err != nil {
		c.mistakes = append(c.mistakes, syntax(file, err).List...)
		return nil
	}
	var read organisationsFile
	inner := newChecker(text, file, c.read)
	inner.decode(reflect.ValueOf(&read).Elem())
	inner.checkOrganisations(read.Organisations)
	c.mistakes = append(c.mistakes, inner.mistakes...)
	return read.Organisations
}

func (c *checker) checkOrganisations(list []Organisation) {
	names := make([]string, 0, len(list))
	var digests, paths []string
	for i, organisation := range list {
		names = append(names, organisation.Name)
		for j, digest := range organisation.KeyDigests {
			digests = append(digests, digest)
			paths = append(paths, fmt.Sprintf("organisations[%d].key_digests[%d]", i, j))
		}
		if organisation.DefaultClass != "" {
			c.form(fmt.Sprintf("organisations[%d].default_class", i), organisation.DefaultClass, tagName)
		}
	}
	c.unique("organisation", names, func(i int) string { return fmt.Sprintf("organisations[%d].name", i) })
	// One key for two organisations would charge the work of one to the other.
	c.unique("digest", digests, func(i int) string { return paths[i] })
}
