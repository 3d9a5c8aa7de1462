package settings_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/inifile"
	"github.com/comfreyladder/comfreyladder/instance/intentfile"
	"github.com/comfreyladder/comfreyladder/instance/settings"
)

const samples = "../../operator/samples"

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

func write(text string) string {
	path := filepath.Join(GinkgoT().TempDir(), "s.ini")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func keys(err error) []string {
	var faults *inifile.FaultsError
	Expect(errors.As(err, &faults)).To(BeTrue(), "%v", err)
	var out []string
	for _, f := range faults.Faults {
		out = append(out, f.Section+"."+f.Key)
	}
	return out
}

var _ = Describe("Settings", func() {
	It("loads every sample of both users", func() {
		for _, user := range []string{"bagmati", "lanyang"} {
			paths, err := filepath.Glob(filepath.Join(samples, user, "*-hall-*.ini"))
			Expect(err).NotTo(HaveOccurred())
			Expect(paths).To(HaveLen(9))
			domains := map[string]int{}
			for _, p := range paths {
				s, err := settings.Load(p)
				Expect(err).NotTo(HaveOccurred())
				domains[s.Instance.FailureDomain]++
			}
			Expect(domains).To(HaveLen(3))
			doc, err := intentfile.Load(filepath.Join(samples, user, "intent.ini"))
			Expect(err).NotTo(HaveOccurred())
			Expect(doc.Organisations).To(HaveLen(10))
		}
	})

	It("reports all faults at once, with section, key and value", func() {
		_, err := settings.Load(write("[instance]\nname=a\ncolor=b\n[listen]\ncallers=localhost:80\n[limits]\nmax_body_bytes=12\nidle_timeout=soon\n[log]\nlevel=loud\n[lsten]\n"))
		Expect(keys(err)).To(ConsistOf("instance.failure_domain", "instance.color", "listen.callers",
			"limits.max_body_bytes", "limits.idle_timeout", "log.level", "lsten."))
		Expect(err.Error()).To(ContainSubstring(`[log] level = "loud": allowed is one of debug, info, warn, error`))
	})

	It("describes every key in a file that loads once the names are filled in", func() {
		var text bytes.Buffer
		settings.Describe(&text)
		filled := strings.NewReplacer("\nname = \n", "\nname = a\n", "failure_domain = \n", "failure_domain = d\n").Replace(text.String())
		_, err := settings.Load(write(filled))
		Expect(err).NotTo(HaveOccurred())
	})

	It("checks combinations of keys", func() {
		_, err := settings.Load(write("[instance]\nname=a\nfailure_domain=d\n[tls]\ncertificate=c.pem\n[control]\nseeds=127.0.0.1:1\nfounders=a\n"))
		Expect(keys(err)).To(ConsistOf("tls.key", "control.peer_key_file", "instance.data_folder", "control.founders"))
	})
})

func FuzzIntentFile(f *testing.F) {
	data, err := os.ReadFile(filepath.Join(samples, "bagmati", "intent.ini"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("[class.a]\ntier=0\nfloor=NaN\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := intentfile.Parse("fuzz", data)
		if err == nil && doc.Validate() != nil {
			t.Fatal("an invalid document was accepted")
		}
	})
}
