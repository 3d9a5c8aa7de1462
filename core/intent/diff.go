package intent

import (
	"cmp"
	"reflect"
	"slices"
)

// ChangeKind says whether an entry was added, removed or changed.
type ChangeKind string

// Values of Change.Kind.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is the difference of one entry between two documents.
type Change struct {
	Kind ChangeKind `json:"verb" codec:"verb"`
	// Path names the entry, such as "class.nurse-review".
	Path string `json:"path" codec:"path"`
	// Fields lists the fields that differ. It is empty for added and removed entries.
	Fields []FieldChange `json:"fields,omitempty" codec:"fields"`
}

// FieldChange is the old and the new value of one field.
type FieldChange struct {
	Field string `json:"field" codec:"field"`
	From  any    `json:"from" codec:"from"`
	To    any    `json:"to" codec:"to"`
}

// Normalize sorts all lists by name.
func (d *Document) Normalize() {
	sortByName(d.Classes, func(v Class) string { return v.Name })
	sortByName(d.Organisations, func(v Organisation) string { return v.Name })
	sortByName(d.Upstreams, func(v Upstream) string { return v.Name })
	sortByName(d.Models, func(v Model) string { return v.Name })
	sortByName(d.Services, func(v Service) string { return v.Name })
	sortByName(d.Operators, func(v Operator) string { return v.Name })
}

// Diff returns the changes from one document to another in a stable order.
func Diff(from, to *Document) []Change {
	var out []Change
	out = append(out, diffList("class", from.Classes, to.Classes, func(v Class) string { return v.Name })...)
	out = append(out, diffList("organisation", from.Organisations, to.Organisations, func(v Organisation) string { return v.Name })...)
	out = append(out, diffList("upstream", from.Upstreams, to.Upstreams, func(v Upstream) string { return v.Name })...)
	out = append(out, diffList("model", from.Models, to.Models, func(v Model) string { return v.Name })...)
	out = append(out, diffList("service", from.Services, to.Services, func(v Service) string { return v.Name })...)
	out = append(out, diffList("operator", from.Operators, to.Operators, func(v Operator) string { return v.Name })...)
	if fields := diffFields(from.Weights, to.Weights); len(fields) > 0 {
		out = append(out, Change{Kind: Changed, Path: "weights", Fields: fields})
	}
	return out
}

func sortByName[T any](list []T, name func(T) string) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}

func diffList[T any](kind string, from, to []T, name func(T) string) []Change {
	old := indexByName(from, name)
	next := indexByName(to, name)
	var out []Change
	for _, n := range sortedKeys(old, next) {
		path := kind + "." + n
		was, had := old[n]
		is, has := next[n]
		switch {
		case !had:
			out = append(out, Change{Kind: Added, Path: path})
		case !has:
			out = append(out, Change{Kind: Removed, Path: path})
		default:
			if fields := diffFields(was, is); len(fields) > 0 {
				out = append(out, Change{Kind: Changed, Path: path, Fields: fields})
			}
		}
	}
	return out
}

func diffFields[T any](from, to T) []FieldChange {
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	var out []FieldChange
	for i := range a.NumField() {
		x, y := a.Field(i), b.Field(i)
		if reflect.DeepEqual(x.Interface(), y.Interface()) || bothEmpty(x, y) {
			continue
		}
		out = append(out, FieldChange{Field: a.Type().Field(i).Tag.Get("json"), From: x.Interface(), To: y.Interface()})
	}
	return out
}

// bothEmpty reports whether both values are empty lists. Codecs do not distinguish nil
// from an empty list.
func bothEmpty(x, y reflect.Value) bool {
	return x.Kind() == reflect.Slice && x.Len() == 0 && y.Len() == 0
}

func indexByName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, v := range list {
		m[name(v)] = v
	}
	return m
}

func sortedKeys[T any](a, b map[string]T) []string {
	keys := make([]string, 0, len(a)+len(b))
	for k := range a {
		keys = append(keys, k)
	}
	for k := range b {
		if _, both := a[k]; !both {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}
