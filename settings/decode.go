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

// The struct tags that decode reads besides json, separated by commas under the key "settings".
const (
	tagRequired = "required" // the file must hold the key
	tagPath     = "path"     // a path of a file, resolved against the file that holds it
	tagListen   = "listen"   // IP:port to listen at; port 0 takes any free one
	tagDial     = "dial"     // IP:port of another process
	tagName     = "name"     // a name of an instance, zone, organisation, class
	tagDigest   = "digest"   // a key digest
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
	levelType    = reflect.TypeFor[log.Level]()
)

// refusedFields are fields that somebody might expect here, and why there are none.
var refusedFields = map[string]string{
	"weight":          "weights are never set; give a class its targets instead",
	"weights":         "weights are never set; give a class its targets instead",
	"server":          "backend servers are never named; they announce themselves",
	"servers":         "backend servers are never named; they announce themselves",
	"backend_server":  "backend servers are never named; they announce themselves",
	"backend_servers": "backend servers are never named; they announce themselves",
}

// checker fills a settings value from a document and collects the mistakes.
type checker struct {
	text     *jsonc.Document
	file     string
	read     readFile
	offsets  map[string]int
	wrong    map[string]bool // paths with a mistake
	mistakes []Diagnostic
}

func newChecker(text *jsonc.Document, file string, read readFile) *checker {
	return &checker{text: text, file: file, read: read, offsets: map[string]int{}, wrong: map[string]bool{}}
}

// add notes a mistake at a path, or at the nearest value around it that the file holds. A path has one mistake: a
// value of the wrong type would otherwise also be reported as out of range.
func (c *checker) add(code result.Code, path, format string, args ...any) {
	if c.wrong[path] {
		return
	}
	c.wrong[path] = true
	line, column := c.text.Position(c.offset(path))
	message := fmt.Sprintf(format, args...)
	c.mistakes = append(c.mistakes, Diagnostic{
		Code: code, File: c.file, Path: path, Line: line, Column: column, Message: message,
	})
}

func (c *checker) offset(path string) int {
	for path != "" {
		if offset, ok := c.offsets[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return c.text.Root.StartOffset
}

// sorted returns the mistakes in the order of the file.
func (c *checker) sorted() *Diagnostics {
	slices.SortStableFunc(c.mistakes, func(a, b Diagnostic) int {
		return cmp.Or(strings.Compare(a.File, b.File), a.Line-b.Line, a.Column-b.Column)
	})
	return &Diagnostics{List: c.mistakes}
}

// decode fills into from the whole document.
func (c *checker) decode(into reflect.Value) {
	c.value("", &c.text.Root, into, "")
}

func (c *checker) topLevelString(key string) string {
	object, ok := c.text.Root.Value.(*hujson.Object)
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

// value fills into from v. tag is the settings tag of the field that v belongs to.
func (c *checker) value(path string, v *hujson.Value, into reflect.Value, tag string) {
	c.offsets[path] = v.StartOffset
	switch into.Kind() {
	case reflect.Struct:
		c.object(path, v, into)
	case reflect.Slice:
		c.array(path, v, into, tag)
	default:
		c.literal(path, v, into, tag)
	}
}

func (c *checker) object(path string, v *hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		c.wrongType(path, "an object", v)
		return
	}
	fields := fieldsOf(into.Type())
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		key := keyOf(member)
		at := join(path, key)
		field, known := fields[key]
		switch {
		case seen[key]:
			c.offsets[at] = member.Name.StartOffset
			c.add(result.SettingsDuplicateKey, at, "the key %q stands twice", key)
		case !known:
			c.offsets[at] = member.Name.StartOffset
			c.unknown(at, key)
		default:
			c.value(at, &member.Value, into.FieldByIndex(field.Index), field.Tag.Get("settings"))
		}
		seen[key] = true
	}
	c.missing(path, into.Type(), seen)
}

func (c *checker) unknown(path, key string) {
	if why, refused := refusedFields[key]; refused {
		c.add(result.SettingsUnknownField, path, "field %q is refused: %s", key, why)
		return
	}
	c.add(result.SettingsUnknownField, path, "unknown field %q", key)
}

func (c *checker) missing(path string, t reflect.Type, seen map[string]bool) {
	for i := range t.NumField() {
		field := t.Field(i)
		key := field.Tag.Get("json")
		if hasTag(field.Tag.Get("settings"), tagRequired) && !seen[key] {
			c.add(result.SettingsMissingKey, join(path, key), "the key %q is missing", key)
		}
	}
}

func (c *checker) array(path string, v *hujson.Value, into reflect.Value, tag string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		c.wrongType(path, "a list", v)
		return
	}
	items := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		c.value(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], items.Index(i), tag)
	}
	if len(array.Elements) == 0 {
		items = reflect.Zero(into.Type())
	}
	into.Set(items)
	if hasTag(tag, tagRequired) && len(array.Elements) == 0 {
		c.add(result.SettingsMissingKey, path, "want at least one item")
	}
}

func (c *checker) literal(path string, v *hujson.Value, into reflect.Value, tag string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		c.wrongType(path, wanted(into.Type()), v)
		return
	}
	switch into.Type() {
	case durationType:
		withUnit(c, path, literal, into, parseDuration)
	case sizeType:
		withUnit(c, path, literal, into, ParseSize)
	case levelType:
		c.level(path, v, literal, into)
	default:
		c.plain(path, v, literal, into, tag)
	}
}

// withUnit reads a string with a unit. A bare number is refused: nobody can see whether 5 means seconds or
// milliseconds, and a guess would be found out by timeouts a thousand times too long.
func withUnit[T ~int64](c *checker, path string, l hujson.Literal, into reflect.Value, read func(string) (T, error)) {
	if l.Kind() != '"' {
		c.add(result.SettingsWrongUnit, path, "want a string with a unit, got %s", l)
		return
	}
	value, err := read(l.String())
	if err != nil {
		c.add(result.SettingsWrongUnit, path, "%s", err)
		return
	}
	into.SetInt(int64(value))
}

func (c *checker) level(path string, v *hujson.Value, l hujson.Literal, into reflect.Value) {
	if l.Kind() != '"' {
		c.wrongType(path, wanted(levelType), v)
		return
	}
	level, err := log.ParseLevel(l.String())
	if err != nil {
		c.add(result.SettingsOutOfRange, path, "want debug, info, warn, error or fatal, got %q", l.String())
		return
	}
	into.SetInt(int64(level))
}

func (c *checker) plain(path string, v *hujson.Value, l hujson.Literal, into reflect.Value, tag string) {
	switch kind := into.Kind(); {
	case kind == reflect.String && l.Kind() == '"':
		c.str(path, l.String(), into, tag)
	case kind == reflect.Bool && (l.Kind() == 't' || l.Kind() == 'f'):
		into.SetBool(l.Kind() == 't')
	case kind == reflect.Int && l.Kind() == '0':
		c.number(path, v, l, into)
	case kind == reflect.Float64 && l.Kind() == '0':
		c.share(path, v, l, into)
	default:
		c.wrongType(path, wanted(into.Type()), v)
	}
}

func (c *checker) number(path string, v *hujson.Value, l hujson.Literal, into reflect.Value) {
	n, err := strconv.Atoi(string(l))
	if err != nil {
		c.wrongType(path, wanted(into.Type()), v)
		return
	}
	into.SetInt(int64(n))
}

func (c *checker) share(path string, v *hujson.Value, l hujson.Literal, into reflect.Value) {
	f, err := strconv.ParseFloat(string(l), 64)
	if err != nil {
		c.wrongType(path, wanted(into.Type()), v)
		return
	}
	into.SetFloat(f)
}

func (c *checker) str(path, text string, into reflect.Value, tag string) {
	if hasTag(tag, tagPath) {
		text = beside(c.file, text)
	}
	into.SetString(text)
	c.form(path, text, tag)
}

func (c *checker) wrongType(path, want string, v *hujson.Value) {
	c.add(result.SettingsWrongType, path, "want %s, got %s", want, kindName(v.Value.Kind()))
}

func wanted(t reflect.Type) string {
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

func fieldsOf(t reflect.Type) map[string]reflect.StructField {
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

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
