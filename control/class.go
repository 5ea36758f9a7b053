package control

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// classJSON is a class in the operators' interface.
type classJSON struct {
	Name       string  `json:"name"`
	Tier       uint32  `json:"tier"`
	DeadlineMS uint32  `json:"deadline_ms"`
	LateMax    float64 `json:"late_max"`
	LostMax    float64 `json:"lost_max"`
	Repeatable bool    `json:"repeatable"`
	Kind       string  `json:"kind"`
	Preempt    string  `json:"preempt"`
	Version    uint64  `json:"version"`
}

func toClassJSON(c *wire.Class) classJSON {
	return classJSON{
		Name:       c.GetName(),
		Tier:       c.GetTier(),
		DeadlineMS: c.GetDeadlineMs(),
		LateMax:    c.GetLateMax(),
		LostMax:    c.GetLostMax(),
		Repeatable: c.GetRepeatable(),
		Kind:       c.GetKind(),
		Preempt:    c.GetPreempt(),
		Version:    c.GetVersion(),
	}
}

// classFields are the fields that the body of a class may contain. The version is accepted, because a class that was
// read contains it, but it is ignored: only If-Match is compared.
var classFields = []string{
	"name", "tier", "deadline_ms", "late_max", "lost_max", "repeatable", "kind", "preempt", "version",
}

// decodeClass decodes the body of a class; name is the one in the request path. A field that operators may not set is
// refused by its name: if it were ignored, an operator who set a weight or a server would believe that it has an
// effect.
func decodeClass(name string, data []byte) (*wire.Class, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil || fields == nil {
		return nil, result.New(result.MalformedBody, "the body isn't a JSON object")
	}
	if unknown := unknownFields(fields); len(unknown) > 0 {
		return nil, result.New(result.FieldRefused, "not for operators to set: %s", strings.Join(unknown, ", "))
	}
	in := classJSON{Name: name, Preempt: settings.PreemptAllowed}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return nil, result.Wrap(err, result.InvalidClass, "%s", describeFieldError(err))
	}
	if in.Name != name {
		return nil, result.New(result.InvalidClass, "name: the path says %q, the body %q", name, in.Name)
	}
	return &wire.Class{
		Name:       in.Name,
		Tier:       in.Tier,
		DeadlineMs: in.DeadlineMS,
		LateMax:    in.LateMax,
		LostMax:    in.LostMax,
		Repeatable: in.Repeatable,
		Kind:       in.Kind,
		Preempt:    in.Preempt,
	}, nil
}

func unknownFields(fields map[string]json.RawMessage) []string {
	var unknown []string
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(classFields, field) {
			unknown = append(unknown, field)
		}
	}
	return unknown
}

// describeFieldError names the field that caused a decoding error.
func describeFieldError(err error) string {
	if typeErr, ok := err.(*json.UnmarshalTypeError); ok {
		return typeErr.Field + ": want " + typeErr.Type.String() + ", got " + typeErr.Value
	}
	return "a field has the wrong form"
}

func classFromSettings(c settings.Class) *wire.Class {
	preempt := c.Preempt
	if preempt == "" {
		preempt = settings.PreemptAllowed
	}
	return &wire.Class{
		Name:       c.Name,
		Tier:       uint32(max(c.Tier, 0)),
		DeadlineMs: uint32(max(c.DeadlineMS, 0)),
		LateMax:    c.LateMax,
		LostMax:    c.LostMax,
		Repeatable: c.Repeatable,
		Kind:       c.Kind,
		Preempt:    preempt,
	}
}
