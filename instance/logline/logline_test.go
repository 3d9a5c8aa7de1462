package logline_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/logline"
)

func TestWritesOneLineOfPairs(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log, err := logline.New(&out, "info")
	g.Expect(err).NotTo(HaveOccurred())
	log.Info().Str("class", "nurse review").Int("n", 3).Str("path", "a\nlevel=forged").Msg("done")
	log.Debug().Msg("hidden")
	g.Expect(out.String()).To(MatchRegexp(`^level=info class="nurse review" n=3 path="a\\nlevel=forged" time=\S+Z message=done\n$`))
}

func TestRefusesUnknownLevel(t *testing.T) {
	_, err := logline.New(&bytes.Buffer{}, "loud")
	NewWithT(t).Expect(err).To(HaveOccurred())
}
