package plan

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"github.com/carawaypitch/carawaypitch/settings/jsonc"
)

// Mistake is one mistake at a place of an experiment file.
type Mistake struct {
	File string
	// Path names the value, such as "mix[2].class".
	Path string
	// Line and Column count from 1.
	Line, Column int
	Message      string
}

// Error returns the place and the message.
func (m *Mistake) Error() string {
	if m.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", m.File, m.Line, m.Column, m.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", m.File, m.Line, m.Column, m.Path, m.Message)
}

// Load reads and checks a file. The error joins every *Mistake.
func Load(file string) (*Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "experiment")
	}
	return Parse(file, data)
}

// Parse reads and checks the text of a file. The error joins every *Mistake.
func Parse(file string, data []byte) (*Plan, error) {
	document, err := jsonc.Parse(data)
	if err != nil {
		return nil, placed(file, err)
	}
	r := &reader{file: file, document: document, offsets: map[string]int{}}
	p := &Plan{}
	r.decode("", &document.Root, reflect.ValueOf(p).Elem())
	if len(r.mistakes) > 0 {
		return nil, errors.Join(r.mistakes...)
	}
	p.setDefaults()
	r.check(p)
	if len(r.mistakes) > 0 {
		return nil, errors.Join(r.mistakes...)
	}
	return p, nil
}

func placed(file string, err error) error {
	var at *jsonc.Error
	if !errors.As(err, &at) {
		return errors.Wrap(err, file)
	}
	return &Mistake{File: file, Line: at.Line, Column: at.Column, Message: at.Message}
}

// reader fills a plan from a document and collects the mistakes.
type reader struct {
	file     string
	document *jsonc.Document
	offsets  map[string]int // of the values by path
	mistakes []error
}

// add notes a mistake at a path, or at the nearest value around it that the file holds.
func (r *reader) add(path, format string, args ...any) {
	line, column := r.document.Position(r.offset(path))
	r.mistakes = append(r.mistakes, &Mistake{
		File: r.file, Path: path, Line: line, Column: column, Message: fmt.Sprintf(format, args...),
	})
}

func (r *reader) offset(path string) int {
	for path != "" {
		if offset, ok := r.offsets[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return r.document.Root.StartOffset
}

// decode fills into from v.
func (r *reader) decode(path string, v *hujson.Value, into reflect.Value) {
	r.offsets[path] = v.StartOffset
	_, custom := into.Addr().Interface().(json.Unmarshaler)
	switch kind := into.Kind(); {
	case kind == reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		r.decode(path, v, into.Elem())
	case kind == reflect.Struct && !custom:
		r.object(path, v, into)
	case kind == reflect.Slice && !custom:
		r.list(path, v, into)
	default:
		r.literal(path, v, into)
	}
}

func (r *reader) object(path string, v *hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.add(path, "want an object")
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		key := member.Name.Value.(hujson.Literal).String()
		at := strings.TrimPrefix(path+"."+key, ".")
		r.offsets[at] = member.Name.StartOffset
		field, known := fieldOf(into, key)
		switch {
		case !known:
			r.add(at, "unknown field %q", key)
		case seen[key]:
			r.add(at, "the key %q stands twice", key)
		default:
			r.decode(at, &member.Value, field)
		}
		seen[key] = true
	}
}

func fieldOf(into reflect.Value, key string) (reflect.Value, bool) {
	for i := range into.NumField() {
		if into.Type().Field(i).Tag.Get("json") == key {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func (r *reader) list(path string, v *hujson.Value, into reflect.Value) {
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		r.add(path, "want a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(list.Elements), len(list.Elements)))
	for i := range list.Elements {
		r.decode(path+"["+strconv.Itoa(i)+"]", &list.Elements[i], into.Index(i))
	}
}

func (r *reader) literal(path string, v *hujson.Value, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		r.add(path, "want a single value")
		return
	}
	err := json.Unmarshal(literal, into.Addr().Interface())
	var wrong *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrong):
		r.add(path, "want a %s, got %s", into.Kind(), wrong.Value)
	case err != nil:
		r.add(path, "%s", err)
	}
}
