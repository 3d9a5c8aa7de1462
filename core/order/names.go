package order

import (
	"strings"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Engines are ordered to hold "model@version" and "model@version:adapter"; a model
// without a version is ordered by its name alone. Engines serve and announce both without
// the version, as requests name them.
const (
	versionSeparator = "@"
	adapterSeparator = ":"
)

// Name returns the name by which engines are ordered to hold a model.
func Name(m *intent.Model) string {
	if m.Version == "" {
		return m.Name
	}
	return m.Name + versionSeparator + m.Version
}

// Names returns the ordered names of a model and all its adapters.
func Names(m *intent.Model) []string {
	name := Name(m)
	out := []string{name}
	for _, a := range m.Adapters {
		out = append(out, name+adapterSeparator+a)
	}
	return out
}

// Served returns the name by which a held model or adapter is served.
func Served(held string) string {
	name, adapter, has := strings.Cut(held, adapterSeparator)
	name = baseName(name)
	if !has {
		return name
	}
	return name + adapterSeparator + adapter
}

// versionedName returns "model@version" for a model or one of its adapters.
func versionedName(held string) string {
	name, _, _ := strings.Cut(held, adapterSeparator)
	return name
}

func baseName(held string) string {
	name, _, _ := strings.Cut(versionedName(held), versionSeparator)
	return name
}
