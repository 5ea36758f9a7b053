package settings

import (
	"fmt"
	"reflect"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings/jsonc"
)

// Log configures the log of a process.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn, error or fatal. Default info.
	Level log.Level `json:"level"`
}

// Organisation is an organisation whose callers may send requests.
type Organisation struct {
	// Name identifies the organisation in logs, metrics and reports.
	Name string `json:"name" settings:"required,name"`
	// KeyDigests holds the digests of its keys, as NewDigest returns them. With several, the old and the new key are
	// both accepted while a key is replaced.
	KeyDigests []string `json:"key_digests" settings:"required,digest"`
	// DefaultClass is the class of a request that names none. If it is empty, such a request is refused.
	DefaultClass string `json:"default_class"`
}

// Default timings shared by several roles.
const (
	defaultHeartbeat = 250 * time.Millisecond
	defaultCutOff    = 2 * time.Second
	defaultDrain     = 30 * time.Second
	defaultLease     = 2 * time.Second
)

// minHeartbeats is the smallest allowed ratio of a timeout for missing messages to the heartbeat interval.
//
// With a smaller ratio, one delayed message looks like a failed process: connections flap, and leases expire while
// their attempts still run normally.
const minHeartbeats = 3

// checkSilenceTimeout reports a timeout for missing messages that is shorter than minHeartbeats heartbeats. A heartbeat
// of 0 or less is not checked here.
func (c *checker) checkSilenceTimeout(path string, timeout, heartbeat time.Duration) {
	if heartbeat > 0 && timeout < minHeartbeats*heartbeat {
		c.report(result.SettingsOutOfRange, path, "want at least %d heartbeats, which is %s, got %s",
			minHeartbeats, minHeartbeats*heartbeat, timeout)
	}
}

// organisationsFile is the content of the file that the key organisations_file names.
type organisationsFile struct {
	// Organisations holds the organisations whose callers may send requests.
	Organisations []Organisation `json:"organisations" settings:"required"`
}

// resolveOrganisations checks the organisations, from file if it isn't empty and otherwise from list. Organisations
// from a file are stored in list, and file is cleared. It is an error to give both.
func (c *checker) resolveOrganisations(list *[]Organisation, file *string) {
	if *file != "" && len(*list) > 0 {
		c.report(result.SettingsOutOfRange, "organisations_file", "give organisations or organisations_file, not both")
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
		c.report(result.SettingsUnreadable, "organisations_file", "%s", err)
		return nil
	}
	document, err := jsonc.Parse(data)
	if err != nil {
		c.diagnostics = append(c.diagnostics, syntaxError(file, err).List...)
		return nil
	}
	var contents organisationsFile
	fileChecker := newChecker(document, file, c.read)
	fileChecker.decode(reflect.ValueOf(&contents).Elem())
	fileChecker.checkOrganisations(contents.Organisations)
	c.diagnostics = append(c.diagnostics, fileChecker.diagnostics...)
	return contents.Organisations
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
			c.checkFormat(fmt.Sprintf("organisations[%d].default_class", i), organisation.DefaultClass, tagName)
		}
	}
	c.checkUnique("organisation", names, func(i int) string { return fmt.Sprintf("organisations[%d].name", i) })
	// With the same key for two organisations, the requests of one would be accounted to the other.
	c.checkUnique("digest", digests, func(i int) string { return paths[i] })
}
