// Package jsonc reads JSON with comments strictly: one whole value, no key twice in an object, no unknown field,
// and a line and column for each mistake.
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// Bounds of what Parse takes.
//
// The parser descends one call for each level, and a text of opening brackets alone (600,000 sufficed) uses up the
// stack, which ends the process without an error. Depth can't be more than the number of opening brackets, so that
// is bounded; those in strings and comments count too, which keeps the check apart from the parser's own rules.
const (
	// MaxBytes is the largest text.
	MaxBytes = 1 << 20
	// MaxBrackets is the largest number of opening brackets and braces.
	MaxBrackets = 20_000
)

// Document is a parsed text.
type Document struct {
	// Root is the syntax tree. Its offsets are those of the text.
	Root hujson.Value

	lineStarts []int
}

// Error is a mistake at a place of the text.
type Error struct {
	// Line and Column count from 1; columns count bytes.
	Line, Column int
	// Message says what is wrong.
	Message string
}

// Error returns the place and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// Parse reads the text. The error is an *Error.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		return nil, &Error{Line: 1, Column: 1, Message: fmt.Sprintf("larger than %d bytes", MaxBytes)}
	}
	if bytes.Count(data, []byte("["))+bytes.Count(data, []byte("{")) > MaxBrackets {
		return nil, &Error{Line: 1, Column: 1, Message: fmt.Sprintf("more than %d lists and objects", MaxBrackets)}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxError(err)
	}
	return &Document{Root: root, lineStarts: lineStarts(data)}, nil
}

// Position returns the line and column, from 1, of a byte offset.
func (d *Document) Position(offset int) (line, column int) {
	line = sort.SearchInts(d.lineStarts, offset+1)
	return line, offset - d.lineStarts[line-1] + 1
}

// duplicates returns the keys that equal an earlier one of the same object.
func (d *Document) duplicates() []*Error {
	var found []*Error
	for value := range d.Root.All() {
		object, ok := value.Value.(*hujson.Object)
		if !ok {
			continue
		}
		seen := map[string]bool{}
		for i := range object.Members {
			name := object.Members[i].Name
			key := name.Value.(hujson.Literal).String()
			if seen[key] {
				found = append(found, d.errorAt(name.StartOffset, fmt.Sprintf("the key %q stands twice", key)))
			}
			seen[key] = true
		}
	}
	return found
}

// Decode reads the text into v, which is a pointer to a value that encoding/json can fill.
func Decode(data []byte, v any) error {
	doc, err := Parse(data)
	if err != nil {
		return err
	}
	if twice := doc.duplicates(); len(twice) > 0 {
		return twice[0]
	}
	doc.Root.Standardize()
	decoder := json.NewDecoder(bytes.NewReader(doc.Root.Pack()))
	decoder.DisallowUnknownFields()
	return doc.located(decoder.Decode(v))
}

// located adds a place to err if encoding/json gave one. Standardize puts spaces for comments, so the offsets
// are still those of the text.
func (d *Document) located(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return d.errorAt(int(wrongType.Offset), err.Error())
	}
	return err
}

func (d *Document) errorAt(offset int, message string) *Error {
	line, column := d.Position(offset)
	return &Error{Line: line, Column: column, Message: message}
}

// syntaxError takes the place out of the parser's text, which is the only form it gives it in.
func syntaxError(err error) *Error {
	e := &Error{Line: 1, Column: 1, Message: err.Error()}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return e
	}
	e.Line, e.Column = line, column
	if cause := errors.Unwrap(err); cause != nil {
		e.Message = cause.Error()
	}
	return e
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}
