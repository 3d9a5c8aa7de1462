// Package inifile decodes sections of an INI file into structs and reports all faults together:
// unknown sections and keys, missing values and values that are not allowed.
//
// A field's key is its `ini` tag or else its `json` tag. A field with the json tag "name" is
// skipped: the section title holds the name. The tag `default` gives the value of a missing key,
// and `allow` restricts the value:
//
//	required      the key must be present
//	a|b|c         one of these words
//	1..10         a number or a duration within these bounds, inclusive
//	address       an IP address with a port
//
// "required" may precede one of the others, separated by a space.
package inifile

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Fault is one error in a file.
type Fault struct {
	Section, Key, Value string
	// Expected describes what is expected in place of Value.
	Expected string
}

// String formats the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("[%s] %s = %q: %s", f.Section, f.Key, f.Value, f.Expected)
}

// FaultsError lists all errors in a file.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error implements error. It lists one fault per line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%s: %d faults", e.File, len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// File is an INI file that is being decoded. Sections that are never decoded are reported as
// faults.
type File struct {
	name   string
	ini    *ini.File
	used   map[string]bool
	faults []Fault
}

// Load reads a file. It fails with fault.Invalid if the file can't be read or is not valid INI.
func Load(name string) (*File, error) { return open(name, name) }

// Parse reads INI from data. The name is used in error messages.
func Parse(name string, data []byte) (*File, error) { return open(name, data) }

func open(name string, source any) (*File, error) {
	opts := ini.LoadOptions{AllowShadows: false, IgnoreInlineComment: true, SkipUnrecognizableLines: false}
	f, err := ini.LoadSources(opts, source)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "%s is not readable as INI", name)
	}
	return &File{name: name, ini: f, used: map[string]bool{}}, nil
}

// Decode decodes a section into the struct that into points to. A missing section is treated as
// empty.
func (f *File) Decode(section string, into any) {
	f.used[section] = true
	f.decode(section, f.ini.Section(section), reflect.ValueOf(into).Elem())
}

// SectionNames returns the sorted names of all sections titled "prefix.name", without the prefix.
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

// AddFault adds a fault found by the caller.
func (f *File) AddFault(section, key, value, allowed string) {
	f.faults = append(f.faults, Fault{Section: section, Key: key, Value: value, Expected: allowed})
}

// Err returns a *FaultsError with all faults found so far and all unknown sections, or nil.
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
		f.decodeField(name, key, s, field, v.Field(i))
	}
	for _, k := range s.Keys() {
		if !known[k.Name()] {
			f.AddFault(name, k.Name(), k.Value(), "unknown key, known are: "+joinSorted(known))
		}
	}
}

func (f *File) decodeField(section, key string, s *ini.Section, field reflect.StructField, v reflect.Value) {
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
	if expected := setValue(v, text); expected != "" {
		f.AddFault(section, key, text, expected)
		return
	}
	if expected := validate(v, text, strings.TrimPrefix(strings.TrimPrefix(allow, "required"), " ")); expected != "" {
		f.AddFault(section, key, text, expected)
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

func joinSorted(set map[string]bool) string {
	names := make([]string, 0, len(set))
	for n := range set {
		names = append(names, n)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
