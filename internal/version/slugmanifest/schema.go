package slugmanifest

import (
	"reflect"
	"strings"
)

// Schema is a JSON Schema document or a subschema.
type Schema struct {
	Schema               string             `json:"$schema,omitempty"`
	Type                 string             `json:"type"`
	Properties           map[string]*Schema `json:"properties,omitempty"`
	Items                *Schema            `json:"items,omitempty"`
	Required             []string           `json:"required,omitempty"`
	AdditionalProperties *bool              `json:"additionalProperties,omitempty"`
}

// NewSchema returns the JSON Schema of a Manifest, derived from its Go types and tags.
func NewSchema() *Schema {
	s := schemaOf(reflect.TypeFor[Manifest]())
	s.Schema = "https://json-schema.org/draft/2020-12/schema"
	return s
}

func schemaOf(t reflect.Type) *Schema {
	switch t.Kind() {
	case reflect.Struct:
		return structSchema(t)
	case reflect.Slice:
		return &Schema{Type: "array", Items: schemaOf(t.Elem())}
	case reflect.Int:
		return &Schema{Type: "integer"}
	case reflect.Float64:
		return &Schema{Type: "number"}
	case reflect.Bool:
		return &Schema{Type: "boolean"}
	default:
		return &Schema{Type: "string"}
	}
}

func structSchema(t reflect.Type) *Schema {
	additionalAllowed := false
	s := &Schema{Type: "object", Properties: map[string]*Schema{}, AdditionalProperties: &additionalAllowed}
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		s.Properties[name] = schemaOf(f.Type)
		if options != "omitempty" {
			s.Required = append(s.Required, name)
		}
	}
	return s
}
