// Package intentfile reads an intent from an INI file with one section per entry, such as
// [class.nurse-review] or [organisation.ward-3].
package intentfile

import (
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/inifile"
)

// Load reads and validates an intent file. It returns *inifile.FaultsError if sections, keys or
// values are malformed, and *intent.ProblemsError if the decoded intent is invalid.
func Load(path string) (*intent.Document, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	return decode(f)
}

// Parse is like Load, but takes the file's content.
func Parse(name string, data []byte) (*intent.Document, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	return decode(f)
}

func decode(f *inifile.File) (*intent.Document, error) {
	d := &intent.Document{}
	d.Classes = decodeEntries(f, "class", func(v *intent.Class, name string) {
		v.Name = name
		v.Attainment = defaultAttainment
	})
	d.Organisations = decodeEntries(f, "organisation", func(v *intent.Organisation, name string) {
		v.Name = name
		v.Weight = 1
		v.ServeWhenCutOff = true
	})
	d.Upstreams = decodeEntries(f, "upstream", func(v *intent.Upstream, name string) { v.Name = name })
	d.Models = decodeEntries(f, "model", func(v *intent.Model, name string) { v.Name = name })
	d.Services = decodeEntries(f, "service", func(v *intent.Service, name string) { v.Name = name })
	d.Operators = decodeEntries(f, "operator", func(v *intent.Operator, name string) { v.Name = name })
	f.Decode("weights", &d.Weights)
	if err := f.Err(); err != nil {
		return nil, err
	}
	d.Normalize()
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return d, nil
}

// defaultAttainment is the share of requests that must meet their targets if the class sets none:
// the design target of 95 in 100.
const defaultAttainment = 0.95

func decodeEntries[T any](f *inifile.File, kind string, defaults func(*T, string)) []T {
	var list []T
	for _, name := range f.SectionNames(kind) {
		var v T
		defaults(&v, name)
		f.Decode(kind+"."+name, &v)
		list = append(list, v)
	}
	return list
}
