package router

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// format writes an intent in the form of intent files, from which a founding
// control group takes its first revision.
func format(d *intent.Document) string {
	b := &strings.Builder{}
	sections(b, "class", d.Classes)
	sections(b, "organisation", d.Organisations)
	sections(b, "upstream", d.Upstreams)
	sections(b, "model", d.Models)
	sections(b, "service", d.Services)
	sections(b, "operator", d.Operators)
	section(b, "weights", reflect.ValueOf(d.Weights))
	return b.String()
}

func sections[T any](b *strings.Builder, kind string, list []T) {
	for i := range list {
		v := reflect.ValueOf(&list[i]).Elem()
		section(b, kind+"."+v.FieldByName("Name").String(), v)
	}
}

func section(b *strings.Builder, title string, v reflect.Value) {
	fmt.Fprintf(b, "[%s]\n", title)
	for f := range v.NumField() {
		key, _, _ := strings.Cut(v.Type().Field(f).Tag.Get("json"), ",")
		if key == "name" || v.Field(f).IsZero() && v.Field(f).Kind() != reflect.Bool {
			continue
		}
		fmt.Fprintf(b, "%s = %s\n", key, value(v.Field(f).Interface()))
	}
}

func value(v any) string {
	switch v := v.(type) {
	case []string:
		return strings.Join(v, ", ")
	case time.Duration:
		return v.String()
	}
	return fmt.Sprint(v)
}
