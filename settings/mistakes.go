package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings/jsonc"
)

// Diagnostic describes one error in a settings file.
type Diagnostic struct {
	// Code is one of the result codes 16xx.
	Code result.Code
	// File is the path of the settings file, or of a file that it refers to.
	File string
	// Path is the path of the value in the file, such as "limits.max_body" or "controls[1]". It is empty for the whole
	// file.
	Path string
	// Line and Column count from 1, and columns are in bytes. Both are 0 if the file couldn't be read.
	Line, Column int
	// Message describes the error and the expected value. It never contains a key.
	Message string
}

// String returns "file:line:column: path: message (code name)".
func (d Diagnostic) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s (%d %s)", d.File, d.Line, d.Column, d.Path, d.Message, uint16(d.Code), d.Code)
}

// Diagnostics is the error of a settings file that can't be read or is invalid.
type Diagnostics struct {
	// List holds at least one diagnostic, in the order of their positions.
	List []Diagnostic
}

// Error returns one line for each diagnostic.
func (d *Diagnostics) Error() string {
	lines := make([]string, 0, len(d.List))
	for _, diagnostic := range d.List {
		lines = append(lines, diagnostic.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the first diagnostic as a *result.Error, so that result.CodeOf returns its code. It returns nil if
// List is empty.
func (d *Diagnostics) Unwrap() error {
	if len(d.List) == 0 {
		return nil
	}
	return result.New(d.List[0].Code, "%s", d.List[0].Message)
}

// Has reports whether List contains a diagnostic with the code and path.
func (d *Diagnostics) Has(code result.Code, path string) bool {
	return slices.ContainsFunc(d.List, func(x Diagnostic) bool { return x.Code == code && x.Path == path })
}

func unreadableError(path string, err error) *Diagnostics {
	return &Diagnostics{List: []Diagnostic{{Code: result.SettingsUnreadable, File: path, Message: err.Error()}}}
}

func syntaxError(path string, err error) *Diagnostics {
	d := Diagnostic{Code: result.SettingsSyntax, File: path, Line: 1, Column: 1, Message: err.Error()}
	var parseErr *jsonc.Error
	if errors.As(err, &parseErr) {
		d.Line, d.Column, d.Message = parseErr.Line, parseErr.Column, parseErr.Message
	}
	return &Diagnostics{List: []Diagnostic{d}}
}
