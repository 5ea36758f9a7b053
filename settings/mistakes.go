package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings/jsonc"
)

// Diagnostic is one thing that is wrong in a settings file.
type Diagnostic struct {
	// Code is one of the 16xx codes.
	Code result.Code
	// File is the path of the file: the settings file itself, or one that it names.
	File string
	// Path names the value within the file, such as "limits.max_body" or "controls[1]"; empty for the whole.
	Path string
	// Line and Column count from 1; columns count bytes. Both are 0 if the file couldn't be read.
	Line, Column int
	// Message says what is wrong, and what is wanted. It never holds a key.
	Message string
}

// String returns "file:line:column: path: message (code name)".
func (m Diagnostic) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s (%d %s)", m.File, m.Line, m.Column, m.Path, m.Message, uint16(m.Code), m.Code)
}

// Diagnostics is the error of a file that can't be used.
type Diagnostics struct {
	// List holds at least one mistake, in the order of the file.
	List []Diagnostic
}

// Error returns one line for each mistake.
func (m *Diagnostics) Error() string {
	lines := make([]string, 0, len(m.List))
	for _, mistake := range m.List {
		lines = append(lines, mistake.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the first mistake as a *result.Error, so that result.CodeOf finds a code.
func (m *Diagnostics) Unwrap() error {
	if len(m.List) == 0 {
		return nil
	}
	return result.New(m.List[0].Code, "%s", m.List[0].Message)
}

// Has tells whether there is a mistake with that code at that path.
func (m *Diagnostics) Has(code result.Code, path string) bool {
	return slices.ContainsFunc(m.List, func(x Diagnostic) bool { return x.Code == code && x.Path == path })
}

func unreadable(path string, err error) *Diagnostics {
	return &Diagnostics{List: []Diagnostic{{Code: result.SettingsUnreadable, File: path, Message: err.Error()}}}
}

func syntax(path string, err error) *Diagnostics {
	m := Diagnostic{Code: result.SettingsSyntax, File: path, Line: 1, Column: 1, Message: err.Error()}
	var at *jsonc.Error
	if errors.As(err, &at) {
		m.Line, m.Column, m.Message = at.Line, at.Column, at.Message
	}
	return &Diagnostics{List: []Diagnostic{m}}
}
