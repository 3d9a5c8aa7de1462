package order

import (
	"strings"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Engines are ordered to hold "model@version" and "model@version:adapter"; a
// model without a version goes by its name alone. They serve and announce both
// without the version, which is how requests ask for them.
const (
	versionSeparator = "@"
	adapterSeparator = ":"
)

// Name returns the name under which engines are ordered to hold a model.
func Name(m *intent.Model) string {
	if m.Version == "" {
		return m.Name
	}
	return m.Name + versionSeparator + m.Version
}

// Names returns the names of a model and of all its adapters.
func Names(m *intent.Model) []string {
	name := Name(m)
	out := []string{name}
	for _, a := range m.Adapters {
		out = append(out, name+adapterSeparator+a)
	}
	return out
}

// Served returns the name under which a held model or adapter is served.
func Served(held string) string {
	name, adapter, has := strings.Cut(held, adapterSeparator)
	name = baseName(name)
	if !has {
		return name
	}
	return name + adapterSeparator + adapter
}

// versionedName returns "model@version" of a model or of an adapter of it.
func versionedName(held string) string {
	name, _, _ := strings.Cut(held, adapterSeparator)
	return name
}

func baseName(held string) string {
	name, _, _ := strings.Cut(versionedName(held), versionSeparator)
	return name
}
