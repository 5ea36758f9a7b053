// Package settings reads and checks the settings files of the processes.
//
// A file is JSON with comments. Its key "role" says which type of this package it fills: Entry, Agent, Control or
// Operator. Reading is strict, and reports every mistake of a file at once, each with its result code, path, line
// and column: a process that starts with half of its settings misread fails later, and far from the cause.
//
// Durations are strings with a unit ("250ms", "2s"), sizes too ("4MiB"). Addresses are IP:port; names of hosts
// aren't looked up. A relative path is relative to the folder of the file that holds it.
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

// Role says what a settings file is for.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
	RoleEngine   Role = "engine"
)

// document is what each settings type does. Its methods have pointer receivers.
type document interface {
	// expectedRole is the role that the file must name.
	expectedRole() Role
	// setDefaults sets what holds for keys that the file leaves out.
	setDefaults()
	// derive sets what follows from other keys.
	derive()
	// validate adds the mistakes that a single value doesn't show.
	validate(c *checker)
}

// readFile reads a file that settings name. Tests and fuzzing give their own.
type readFile func(path string) ([]byte, error)

// Load reads a settings file into T, which is Entry, Agent, Control, Operator or Engine. The error is a *Mistakes.
func Load[T any](path string) (*T, error) {
	path = absolute(path)
	data, err := readRegular(path)
	if err != nil {
		return nil, unreadable(path, err)
	}
	return parse[T](data, path, readRegular)
}

// Check reads a settings file of any role and returns that role. The error is a *Mistakes.
func Check(path string) (Role, error) {
	path = absolute(path)
	data, err := readRegular(path)
	if err != nil {
		return "", unreadable(path, err)
	}
	role, err := peekRole(data, path)
	if err != nil {
		return role, err
	}
	return role, checkAs(role, data, path)
}

func checkAs(role Role, data []byte, path string) error {
	var err error
	switch role {
	case RoleEntry:
		_, err = parse[Entry](data, path, readRegular)
	case RoleAgent:
		_, err = parse[Agent](data, path, readRegular)
	case RoleControl:
		_, err = parse[Control](data, path, readRegular)
	case RoleOperator:
		_, err = parse[Operator](data, path, readRegular)
	case RoleEngine:
		_, err = parse[Engine](data, path, readRegular)
	}
	return err
}

// parse reads data, which came from the file at path.
func parse[T any](data []byte, path string, read readFile) (*T, error) {
	settings := new(T)
	doc, ok := any(settings).(document)
	if !ok {
		return nil, errors.Errorf("settings: %T is not a settings type", *settings)
	}
	text, err := jsonc.Parse(data)
	if err != nil {
		return nil, syntax(path, err)
	}
	c := newChecker(text, path, read)
	doc.setDefaults()
	c.decode(reflect.ValueOf(settings).Elem())
	doc.derive()
	c.role(doc.expectedRole(), reflect.ValueOf(settings).Elem().FieldByName("Role"))
	doc.validate(c)
	if len(c.mistakes) > 0 {
		return nil, c.sorted()
	}
	return settings, nil
}

func (c *checker) role(want Role, got reflect.Value) {
	if got.String() != "" && got.String() != string(want) {
		c.add(result.SettingsOutOfRange, "role", "want %q, got %q", want, got.String())
	}
}

// peekRole reads the key "role" alone.
func peekRole(data []byte, path string) (Role, error) {
	text, err := jsonc.Parse(data)
	if err != nil {
		return "", syntax(path, err)
	}
	c := newChecker(text, path, nil)
	role := Role(c.topLevelString("role"))
	switch role {
	case RoleEntry, RoleAgent, RoleControl, RoleOperator, RoleEngine:
		return role, nil
	case "":
		c.add(result.SettingsMissingKey, "role", "want one of entry, agent, control, operator, engine")
	default:
		c.add(result.SettingsOutOfRange, "role", "want one of entry, agent, control, operator, engine, got %q", string(role))
	}
	return "", c.sorted()
}

// readRegular reads a regular file of at most jsonc.MaxBytes.
//
// Opening a named pipe waits until another process writes to it, and a device may never end. A process given such
// a path by mistake would hang at its start without a word.
func readRegular(path string) ([]byte, error) {
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

// absolute returns the path from the root. It returns it as it is if the working folder is gone.
func absolute(path string) string {
	if whole, err := filepath.Abs(path); err == nil {
		return whole
	}
	return path
}

// beside resolves a path that stands in the file at base.
func beside(base, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(base), path)
}
