package order

import (
	"strings"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Engines are ordered to hold "model@version" and "model@version:adapter"; a
// model without a version goes by its name alone. They serve and announce both
// without the version, which is how requests ask for them.
const (
	versionMark = "@"
	adapterMark = ":"
)

// Name returns the name under which engines are ordered to hold a model.
func Name(m *intent.Model) string {
	if m.Version == "" {
		return m.Name
	}
	return m.Name + versionMark + m.Version
}

// Names returns the names of a model and of all its adapters.
func Names(m *intent.Model) []string {
	name := Name(m)
	out := []string{name}
	for _, a := range m.Adapters {
		out = append(out, name+adapterMark+a)
	}
	return out
}

// Served returns the name under which a held model or adapter is served.
func Served(held string) string {
	name, adapter, has := strings.Cut(held, adapterMark)
	name = baseOf(name)
	if !has {
		return name
	}
	return name + adapterMark + adapter
}

// weightsOf returns "model@version" of a model or of an adapter of it.
func weightsOf(held string) string {
	name, _, _ := strings.Cut(held, adapterMark)
	return name
}

func baseOf(held string) string {
	name, _, _ := strings.Cut(weightsOf(held), versionMark)
	return name
}
