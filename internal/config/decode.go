package config

import (
	"reflect"

	toml "github.com/pelletier/go-toml/v2"
)

// decode decodes a TOML document into p. A setting counts only if its name matches exactly; others are
// ignored. The library alone would match names without regard to case, so that an unknown setting
// could replace a known one.
func decode(document []byte, p *Platform) error {
	var table map[string]any
	if err := toml.Unmarshal(document, &table); err != nil {
		return err
	}
	removeUnknown(table, reflect.TypeFor[Platform]())
	known, err := toml.Marshal(table)
	if err != nil {
		return err
	}
	if toml.Unmarshal(known, p) != nil {
		// A known setting has a value of the wrong type. Only the whole document has its position.
		return toml.Unmarshal(document, p)
	}
	return nil
}

// removeUnknown removes from the tables in value the names that are not fields of type t.
func removeUnknown(value any, t reflect.Type) {
	switch value := value.(type) {
	case map[string]any:
		if t.Kind() != reflect.Struct {
			return
		}
		for name, inner := range value {
			if field, ok := fieldByName(t, name); ok {
				removeUnknown(inner, field.Type)
			} else {
				delete(value, name)
			}
		}
	case []any:
		if t.Kind() != reflect.Slice {
			return
		}
		for _, inner := range value {
			removeUnknown(inner, t.Elem())
		}
	}
}

// fieldByName returns the field of a struct type that has a name in TOML.
func fieldByName(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if field := t.Field(i); field.Tag.Get("toml") == name {
			return field, true
		}
	}
	return reflect.StructField{}, false
}
