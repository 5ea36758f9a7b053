// Package jsonc decodes JSON with comments strictly: it rejects trailing data, duplicate keys in an object and unknown
// fields, and reports the line and column of an error.
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// Limits of the input of Parse.
//
// The parser recurses for each nesting level. A text of 600,000 opening brackets exhausts the stack, which ends the
// process without an error. The nesting depth can't exceed the number of opening brackets, so that number is limited.
// Brackets in strings and comments count too, so that the check doesn't depend on the grammar.
const (
	// MaxBytes is the maximum size of the text, in bytes.
	MaxBytes = 1 << 20
	// MaxBrackets is the maximum number of opening brackets and braces.
	MaxBrackets = 20_000
)

// Document is a parsed text.
type Document struct {
	// Root is the syntax tree. Its offsets are byte offsets in the text.
	Root hujson.Value

	lineStarts []int
}

// Error is an error at a position in the text.
type Error struct {
	// Line and Column count from 1, and columns are in bytes.
	Line, Column int
	// Message describes the error.
	Message string
}

// Error returns the position and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// Parse parses the text. It rejects a text beyond MaxBytes or MaxBrackets. The error is an *Error.
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

// Position returns the line and column of a byte offset. Both count from 1, and columns are in bytes.
func (d *Document) Position(offset int) (line, column int) {
	line = sort.SearchInts(d.lineStarts, offset+1)
	return line, offset - d.lineStarts[line-1] + 1
}

// duplicates returns an error for each key that equals an earlier key of the same object.
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

// Decode decodes the text into v, a pointer as for json.Unmarshal. It rejects duplicate keys and unknown fields. The
// error is an *Error if its position is known, and otherwise that of encoding/json.
func Decode(data []byte, v any) error {
	doc, err := Parse(data)
	if err != nil {
		return err
	}
	if duplicates := doc.duplicates(); len(duplicates) > 0 {
		return duplicates[0]
	}
	doc.Root.Standardize()
	decoder := json.NewDecoder(bytes.NewReader(doc.Root.Pack()))
	decoder.DisallowUnknownFields()
	return doc.withPosition(decoder.Decode(v))
}

// withPosition returns err as an *Error if encoding/json reports an offset, and otherwise err itself. Standardize
// replaces comments by spaces, so offsets in its output are those of the text.
func (d *Document) withPosition(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return d.errorAt(int(typeErr.Offset), err.Error())
	}
	return err
}

func (d *Document) errorAt(offset int, message string) *Error {
	line, column := d.Position(offset)
	return &Error{Line: line, Column: column, Message: message}
}

// syntaxError converts an error of the parser. The position is parsed from the error message, the only form in which
// the parser returns it.
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
