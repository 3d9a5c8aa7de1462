package inifile

import (
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Describe writes the keys of a section with their types, allowed values and defaults, as INI that
// can be loaded.
func Describe(w io.Writer, section string, of any) {
	t := reflect.TypeOf(of)
	fmt.Fprintf(w, "[%s]\n", section)
	for i := range t.NumField() {
		field := t.Field(i)
		key := keyOf(field)
		if key == "" {
			continue
		}
		fmt.Fprintf(w, "; %s\n", describeType(field))
		fmt.Fprintf(w, "%s = %s\n", key, field.Tag.Get("default"))
	}
	fmt.Fprintln(w)
}

func describeType(field reflect.StructField) string {
	kind := field.Type.String()
	switch {
	case field.Type == durationType:
		kind = "duration"
	case field.Type.Kind() == reflect.Slice:
		kind = "list with commas"
	}
	allow := field.Tag.Get("allow")
	if allow == "" {
		return kind
	}
	return kind + ", " + strings.ReplaceAll(allow, "|", " or ")
}
