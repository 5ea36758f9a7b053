package settings

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/tailscale/hujson"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings/jsonc"
)

// Options of the struct tag "settings", separated by commas. decode applies them in addition to the tag "json".
const (
	tagRequired = "required" // the file must contain the key
	tagPath     = "path"     // a file path, relative to the folder of the settings file
	tagListen   = "listen"   // IP:port to listen on; port 0 selects any free port
	tagDial     = "dial"     // IP:port to connect to
	tagName     = "name"     // a name of an instance, zone, organisation or class
	tagDigest   = "digest"   // a key digest, as NewDigest returns it
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
	levelType    = reflect.TypeFor[log.Level]()
)

// rejectedFields maps field names that users may expect in a settings file to the reason why they aren't supported.
var rejectedFields = map[string]string{
	"weight":          "weights are never set; give a class its targets instead",
	"weights":         "weights are never set; give a class its targets instead",
	"server":          "backend servers are never named; they announce themselves",
	"servers":         "backend servers are never named; they announce themselves",
	"backend_server":  "backend servers are never named; they announce themselves",
	"backend_servers": "backend servers are never named; they announce themselves",
}

// checker decodes a document into a settings value, validates the value and collects the diagnostics.
type checker struct {
	document    *jsonc.Document
	file        string
	read        readFile
	offsets     map[string]int
	reported    map[string]bool // paths that have a diagnostic
	diagnostics []Diagnostic
}

func newChecker(document *jsonc.Document, file string, read readFile) *checker {
	return &checker{document: document, file: file, read: read, offsets: map[string]int{}, reported: map[string]bool{}}
}

// report adds a diagnostic for the value at path. Its position is that of the value, or of the innermost enclosing
// value that the file contains. A path gets at most one diagnostic, since a value of the wrong type would otherwise
// also be reported as out of range.
func (c *checker) report(code result.Code, path, format string, args ...any) {
	if c.reported[path] {
		return
	}
	c.reported[path] = true
	line, column := c.document.Position(c.offsetOf(path))
	message := fmt.Sprintf(format, args...)
	c.diagnostics = append(c.diagnostics, Diagnostic{
		Code: code, File: c.file, Path: path, Line: line, Column: column, Message: message,
	})
}

func (c *checker) offsetOf(path string) int {
	for path != "" {
		if offset, ok := c.offsets[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return c.document.Root.StartOffset
}

// sortedDiagnostics returns the diagnostics, sorted by file, line and column.
func (c *checker) sortedDiagnostics() *Diagnostics {
	slices.SortStableFunc(c.diagnostics, func(a, b Diagnostic) int {
		return cmp.Or(strings.Compare(a.File, b.File), a.Line-b.Line, a.Column-b.Column)
	})
	return &Diagnostics{List: c.diagnostics}
}

// decode decodes the whole document into the struct into.
func (c *checker) decode(into reflect.Value) {
	c.decodeValue("", &c.document.Root, into, "")
}

func (c *checker) topLevelString(key string) string {
	object, ok := c.document.Root.Value.(*hujson.Object)
	if !ok {
		return ""
	}
	for i := range object.Members {
		member := &object.Members[i]
		literal, isLiteral := member.Value.Value.(hujson.Literal)
		if keyOf(member) == key && isLiteral && literal.Kind() == '"' {
			c.offsets[key] = member.Value.StartOffset
			return literal.String()
		}
	}
	return ""
}

// decodeValue decodes v into the value into. The tag is the "settings" struct tag of the field that v belongs to.
func (c *checker) decodeValue(path string, v *hujson.Value, into reflect.Value, tag string) {
	c.offsets[path] = v.StartOffset
	switch into.Kind() {
	case reflect.Struct:
		c.decodeObject(path, v, into)
	case reflect.Slice:
		c.decodeArray(path, v, into, tag)
	default:
		c.decodeLiteral(path, v, into, tag)
	}
}

func (c *checker) decodeObject(path string, v *hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		c.reportWrongType(path, "an object", v)
		return
	}
	fields := fieldsByKey(into.Type())
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		key := keyOf(member)
		memberPath := joinPath(path, key)
		field, known := fields[key]
		switch {
		case seen[key]:
			c.offsets[memberPath] = member.Name.StartOffset
			c.report(result.SettingsDuplicateKey, memberPath, "the key %q stands twice", key)
		case !known:
			c.offsets[memberPath] = member.Name.StartOffset
			c.reportUnknownKey(memberPath, key)
		default:
			c.decodeValue(memberPath, &member.Value, into.FieldByIndex(field.Index), field.Tag.Get("settings"))
		}
		seen[key] = true
	}
	c.reportMissingKeys(path, into.Type(), seen)
}

func (c *checker) reportUnknownKey(path, key string) {
	if reason, rejected := rejectedFields[key]; rejected {
		c.report(result.SettingsUnknownField, path, "field %q is refused: %s", key, reason)
		return
	}
	c.report(result.SettingsUnknownField, path, "unknown field %q", key)
}

func (c *checker) reportMissingKeys(path string, t reflect.Type, seen map[string]bool) {
	for i := range t.NumField() {
		field := t.Field(i)
		key := field.Tag.Get("json")
		if hasTag(field.Tag.Get("settings"), tagRequired) && !seen[key] {
			c.report(result.SettingsMissingKey, joinPath(path, key), "the key %q is missing", key)
		}
	}
}

func (c *checker) decodeArray(path string, v *hujson.Value, into reflect.Value, tag string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		c.reportWrongType(path, "a list", v)
		return
	}
	items := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		c.decodeValue(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], items.Index(i), tag)
	}
	if len(array.Elements) == 0 {
		items = reflect.Zero(into.Type())
	}
	into.Set(items)
	if hasTag(tag, tagRequired) && len(array.Elements) == 0 {
		c.report(result.SettingsMissingKey, path, "want at least one item")
	}
}

func (c *checker) decodeLiteral(path string, v *hujson.Value, into reflect.Value, tag string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		c.reportWrongType(path, expectedKind(into.Type()), v)
		return
	}
	switch into.Type() {
	case durationType:
		decodeWithUnit(c, path, literal, into, parseDuration)
	case sizeType:
		decodeWithUnit(c, path, literal, into, ParseSize)
	case levelType:
		c.decodeLevel(path, v, literal, into)
	default:
		c.decodeScalar(path, v, literal, into, tag)
	}
}

// decodeWithUnit decodes a string with a unit. A bare number is rejected, since it doesn't show whether 5 means seconds
// or milliseconds, and a wrong guess makes timeouts a thousand times too long.
func decodeWithUnit[T ~int64](c *checker, path string, l hujson.Literal, into reflect.Value, parseText func(string) (T, error)) {
	if l.Kind() != '"' {
		c.report(result.SettingsWrongUnit, path, "want a string with a unit, got %s", l)
		return
	}
	value, err := parseText(l.String())
	if err != nil {
		c.report(result.SettingsWrongUnit, path, "%s", err)
		return
	}
	into.SetInt(int64(value))
}

func (c *checker) decodeLevel(path string, v *hujson.Value, l hujson.Literal, into reflect.Value) {
	if l.Kind() != '"' {
		c.reportWrongType(path, expectedKind(levelType), v)
		return
	}
	level, err := log.ParseLevel(l.String())
	if err != nil {
		c.report(result.SettingsOutOfRange, path, "want debug, info, warn, error or fatal, got %q", l.String())
		return
	}
	into.SetInt(int64(level))
}

func (c *checker) decodeScalar(path string, v *hujson.Value, l hujson.Literal, into reflect.Value, tag string) {
	switch kind := into.Kind(); {
	case kind == reflect.String && l.Kind() == '"':
		c.decodeString(path, l.String(), into, tag)
	case kind == reflect.Bool && (l.Kind() == 't' || l.Kind() == 'f'):
		into.SetBool(l.Kind() == 't')
	case kind == reflect.Int && l.Kind() == '0':
		c.decodeInt(path, v, l, into)
	case kind == reflect.Float64 && l.Kind() == '0':
		c.decodeFloat(path, v, l, into)
	default:
		c.reportWrongType(path, expectedKind(into.Type()), v)
	}
}

func (c *checker) decodeInt(path string, v *hujson.Value, l hujson.Literal, into reflect.Value) {
	n, err := strconv.Atoi(string(l))
	if err != nil {
		c.reportWrongType(path, expectedKind(into.Type()), v)
		return
	}
	into.SetInt(int64(n))
}

func (c *checker) decodeFloat(path string, v *hujson.Value, l hujson.Literal, into reflect.Value) {
	f, err := strconv.ParseFloat(string(l), 64)
	if err != nil {
		c.reportWrongType(path, expectedKind(into.Type()), v)
		return
	}
	into.SetFloat(f)
}

func (c *checker) decodeString(path, text string, into reflect.Value, tag string) {
	if hasTag(tag, tagPath) {
		text = resolvePath(c.file, text)
	}
	into.SetString(text)
	c.checkFormat(path, text, tag)
}

func (c *checker) reportWrongType(path, want string, v *hujson.Value) {
	c.report(result.SettingsWrongType, path, "want %s, got %s", want, kindName(v.Value.Kind()))
}

func expectedKind(t reflect.Type) string {
	switch {
	case t == durationType || t == sizeType:
		return "a string with a unit"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Int:
		return "a whole number"
	case t.Kind() == reflect.Float64:
		return "a number"
	default:
		return "a string"
	}
}

var kindNames = map[hujson.Kind]string{
	'n': "null", 't': "true", 'f': "false", '"': "a string", '0': "a number", '{': "an object", '[': "a list",
}

func kindName(kind hujson.Kind) string {
	return kindNames[kind]
}

func keyOf(member *hujson.ObjectMember) string {
	return member.Name.Value.(hujson.Literal).String()
}

func fieldsByKey(t reflect.Type) map[string]reflect.StructField {
	fields := map[string]reflect.StructField{}
	for i := range t.NumField() {
		field := t.Field(i)
		fields[field.Tag.Get("json")] = field
	}
	return fields
}

func hasTag(tag, want string) bool {
	return slices.Contains(strings.Split(tag, ","), want)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
