package router

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// formatIntent encodes an intent as an intent file, from which a founding control group takes
// its first revision.
func formatIntent(d *intent.Document) string {
	b := &strings.Builder{}
	writeSections(b, "class", d.Classes)
	writeSections(b, "organisation", d.Organisations)
	writeSections(b, "upstream", d.Upstreams)
	writeSections(b, "model", d.Models)
	writeSections(b, "service", d.Services)
	writeSections(b, "operator", d.Operators)
	writeSection(b, "weights", reflect.ValueOf(d.Weights))
	return b.String()
}

func writeSections[T any](b *strings.Builder, kind string, list []T) {
	for i := range list {
		v := reflect.ValueOf(&list[i]).Elem()
		writeSection(b, kind+"."+v.FieldByName("Name").String(), v)
	}
}

func writeSection(b *strings.Builder, title string, v reflect.Value) {
	fmt.Fprintf(b, "[%s]\n", title)
	for f := range v.NumField() {
		key, _, _ := strings.Cut(v.Type().Field(f).Tag.Get("json"), ",")
		if key == "name" || v.Field(f).IsZero() && v.Field(f).Kind() != reflect.Bool {
			continue
		}
		fmt.Fprintf(b, "%s = %s\n", key, formatValue(v.Field(f).Interface()))
	}
}

func formatValue(v any) string {
	switch v := v.(type) {
	case []string:
		return strings.Join(v, ", ")
	case time.Duration:
		return v.String()
	}
	return fmt.Sprint(v)
}
