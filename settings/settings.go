// Package settings reads and checks the settings files of the processes.
//
// A file is JSON with comments. Its key "role" selects the type of this package that it is decoded into: Entry, Agent,
// Control, Operator or Engine. Decoding is strict, since a process that starts with misread settings fails later, far
// from the cause. All errors of a file are reported together, each with its result code, path, line and column.
//
// Durations are strings with a unit ("250ms", "2s"), and so are sizes ("4MiB"). Addresses are IP:port; host names
// aren't resolved. A relative path is resolved against the folder of the file that contains it.
package settings

import (
	"io"
	"os"
	"path/filepath"
	"reflect"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings/jsonc"
)

// Role is the role of the process that a settings file configures.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
	RoleEngine   Role = "engine"
)

// roleSettings is implemented by a pointer to each settings type.
type roleSettings interface {
	// expectedRole returns the role that the file must have.
	expectedRole() Role
	// setDefaults sets all fields to the values for keys that the file omits.
	setDefaults()
	// derive sets omitted fields whose defaults depend on other fields.
	derive()
	// validate reports invalid values that decoding doesn't detect, such as values that contradict each other.
	validate(c *checker)
}

// readFile reads a file that a settings file refers to. Tests and fuzz targets substitute it.
type readFile func(path string) ([]byte, error)

// Load reads and validates the settings file at path. T is Entry, Agent, Control, Operator or Engine; for these the
// error is a *Diagnostics.
func Load[T any](path string) (*T, error) {
	path = absolutePath(path)
	data, err := readRegularFile(path)
	if err != nil {
		return nil, unreadableError(path, err)
	}
	return parse[T](data, path, readRegularFile)
}

// Check reads and validates a settings file of any role and returns its role, which is empty if it can't be
// determined. The error is a *Diagnostics.
func Check(path string) (Role, error) {
	path = absolutePath(path)
	data, err := readRegularFile(path)
	if err != nil {
		return "", unreadableError(path, err)
	}
	role, err := peekRole(data, path)
	if err != nil {
		return role, err
	}
	return role, checkWithRole(role, data, path)
}

func checkWithRole(role Role, data []byte, path string) error {
	var err error
	switch role {
	case RoleEntry:
		_, err = parse[Entry](data, path, readRegularFile)
	case RoleAgent:
		_, err = parse[Agent](data, path, readRegularFile)
	case RoleControl:
		_, err = parse[Control](data, path, readRegularFile)
	case RoleOperator:
		_, err = parse[Operator](data, path, readRegularFile)
	case RoleEngine:
		_, err = parse[Engine](data, path, readRegularFile)
	}
	return err
}

// parse decodes and validates data, the content of the file at path. Files that it refers to are read by read.
func parse[T any](data []byte, path string, read readFile) (*T, error) {
	settings := new(T)
	target, ok := any(settings).(roleSettings)
	if !ok {
		return nil, errors.Errorf("settings: %T is not a settings type", *settings)
	}
	document, err := jsonc.Parse(data)
	if err != nil {
		return nil, syntaxError(path, err)
	}
	c := newChecker(document, path, read)
	target.setDefaults()
	c.decode(reflect.ValueOf(settings).Elem())
	target.derive()
	c.checkRole(target.expectedRole(), reflect.ValueOf(settings).Elem().FieldByName("Role"))
	target.validate(c)
	if len(c.diagnostics) > 0 {
		return nil, c.sortedDiagnostics()
	}
	return settings, nil
}

func (c *checker) checkRole(want Role, got reflect.Value) {
	if got.String() != "" && got.String() != string(want) {
		c.report(result.SettingsOutOfRange, "role", "want %q, got %q", want, got.String())
	}
}

// peekRole returns the value of the key "role" without decoding the other keys.
func peekRole(data []byte, path string) (Role, error) {
	document, err := jsonc.Parse(data)
	if err != nil {
		return "", syntaxError(path, err)
	}
	c := newChecker(document, path, nil)
	role := Role(c.topLevelString("role"))
	switch role {
	case RoleEntry, RoleAgent, RoleControl, RoleOperator, RoleEngine:
		return role, nil
	case "":
		c.report(result.SettingsMissingKey, "role", "want one of entry, agent, control, operator, engine")
	default:
		c.report(result.SettingsOutOfRange, "role", "want one of entry, agent, control, operator, engine, got %q", string(role))
	}
	return "", c.sortedDiagnostics()
}

// readRegularFile reads a regular file, up to one byte more than jsonc.MaxBytes, so that jsonc.Parse rejects a larger
// one.
//
// Other files are refused: opening a named pipe blocks until another process writes to it, and reading a device may
// never end. With such a path given by mistake, the process would hang at start without a message.
func readRegularFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, errors.Errorf("%s is not a regular file", path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, jsonc.MaxBytes+1))
}

// absolutePath returns the absolute form of path, or path unchanged if the working directory no longer exists.
func absolutePath(path string) string {
	if abs, err := filepath.Abs(path); err == nil {
		return abs
	}
	return path
}

// resolvePath resolves path against the folder of the file at base. An empty path stays empty.
func resolvePath(base, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(base), path)
}
