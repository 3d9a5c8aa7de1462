// Package samples embeds commented sample settings and intents: the deployments of the first two
// users.
package samples

import (
	"embed"
	"fmt"
	"strings"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

//go:embed bagmati lanyang
var files embed.FS

// Users returns the users that have samples.
func Users() []string { return []string{"bagmati", "lanyang"} }

// Numbers of the placeholders for key digests in the sample intents. Organisations are numbered
// from 1 in their order, operators and upstream rules from these values.
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

// WithKey replaces placeholder number n in a sample intent with the digest of a key.
func WithKey(intent string, n int, digest string) string {
	return strings.ReplaceAll(intent, fmt.Sprintf("%064x", n), digest)
}
