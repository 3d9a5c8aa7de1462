// Package inifile decodes sections of an INI file into structs and reports
// every fault at once: unknown sections and keys, missing values, and values
// outside of what is allowed.
//
// A field's key is its `ini` tag or, without one, its `json` tag (but "name",
// which stands in the title of the section). The tag
// `default` gives the value of a missing key, and `allow` what a value must be:
//
//	required      the key must be there
//	a|b|c         one of these words
//	1..10         a number or a duration within these bounds
//	address       an IP number with a port
package inifile

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Fault is one thing that is wrong with a file.
type Fault struct {
	Section, Key, Value string
	// Expected says what would be right.
	Expected string
}

// String formats the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("[%s] %s = %q: %s", f.Section, f.Key, f.Value, f.Expected)
}

// FaultsError lists all that is wrong with a file.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error implements error; it lists one fault a line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%s: %d faults", e.File, len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// File is an INI file that is being decoded. Sections that nobody decodes are
// faults.
type File struct {
	name   string
	ini    *ini.File
	used   map[string]bool
	faults []Fault
}

// Load reads a file. The failure has code Invalid when it is no INI at all.
func Load(name string) (*File, error) { return open(name, name) }

// Parse reads INI from data; name is used in messages.
func Parse(name string, data []byte) (*File, error) { return open(name, data) }

func open(name string, source any) (*File, error) {
	opts := ini.LoadOptions{AllowShadows: false, IgnoreInlineComment: true, SkipUnrecognizableLines: false}
	f, err := ini.LoadSources(opts, source)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "%s is not readable as INI", name)
	}
	return &File{name: name, ini: f, used: map[string]bool{}}, nil
}

// Decode fills the struct that into points to from one section. A missing
// section is as an empty one.
func (f *File) Decode(section string, into any) {
	f.used[section] = true
	f.decode(section, f.ini.Section(section), reflect.ValueOf(into).Elem())
}

// SectionNames returns the sorted names of the sections "prefix.name".
func (f *File) SectionNames(prefix string) []string {
	var names []string
	for _, s := range f.ini.SectionStrings() {
		if name, ok := strings.CutPrefix(s, prefix+"."); ok {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// AddFault records a fault found by the caller.
func (f *File) AddFault(section, key, value, allowed string) {
	f.faults = append(f.faults, Fault{Section: section, Key: key, Value: value, Expected: allowed})
}

// Err returns a *FaultsError with all faults found, or nil.
func (f *File) Err() error {
	for _, s := range f.ini.SectionStrings() {
		if !f.used[s] && (s != ini.DefaultSection || len(f.ini.Section(s).Keys()) > 0) {
			f.AddFault(s, "", "", "unknown section")
			f.used[s] = true
		}
	}
	if len(f.faults) == 0 {
		return nil
	}
	return &FaultsError{File: f.name, Faults: f.faults}
}

func (f *File) decode(name string, s *ini.Section, v reflect.Value) {
	known := map[string]bool{}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := keyOf(field)
		if key == "" {
			continue
		}
		known[key] = true
		f.field(name, key, s, field, v.Field(i))
	}
	for _, k := range s.Keys() {
		if !known[k.Name()] {
			f.AddFault(name, k.Name(), k.Value(), "unknown key, known are: "+list(known))
		}
	}
}

func (f *File) field(section, key string, s *ini.Section, field reflect.StructField, v reflect.Value) {
	allow := field.Tag.Get("allow")
	text := field.Tag.Get("default")
	if s.HasKey(key) {
		text = strings.TrimSpace(s.Key(key).Value())
	}
	if text == "" {
		if allow == "required" || strings.HasPrefix(allow, "required ") {
			f.AddFault(section, key, "", "a value is required")
		}
		return
	}
	if why := set(v, text); why != "" {
		f.AddFault(section, key, text, why)
		return
	}
	if why := check(v, text, strings.TrimPrefix(strings.TrimPrefix(allow, "required"), " ")); why != "" {
		f.AddFault(section, key, text, why)
	}
}

func keyOf(field reflect.StructField) string {
	key := field.Tag.Get("ini")
	if key != "" {
		return key
	}
	key, _, _ = strings.Cut(field.Tag.Get("json"), ",")
	if key == "name" {
		return ""
	}
	return key
}

func list(set map[string]bool) string {
	names := make([]string, 0, len(set))
	for n := range set {
		names = append(names, n)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
