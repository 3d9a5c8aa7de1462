// Package samples holds the commented settings and intents of the two first
// users' deployments.
package samples

import (
	"embed"
	"fmt"
	"strings"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

//go:embed bagmati lanyang
var files embed.FS

// Users lists whose samples there are.
func Users() []string { return []string{"bagmati", "lanyang"} }

// The placeholders of key digests in the sample intents: organisations count
// from 1 in their order, operators and upstream rules from these numbers.
const (
	FirstOperator = 800
	FirstUpstream = 901
)

// Intent returns a user's sample intent.
func Intent(user string) (string, error) {
	data, err := files.ReadFile(user + "/intent.ini")
	if err != nil {
		return "", fault.Wrap(err, fault.NotFound, "no sample of user %q", user)
	}
	return string(data), nil
}

// WithKey replaces placeholder number n of a sample intent by a key's digest.
func WithKey(intent string, n int, digest string) string {
	return strings.ReplaceAll(intent, fmt.Sprintf("%064x", n), digest)
}
