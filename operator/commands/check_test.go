package commands

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/instance/intentfile"
)

const sampleIntent = "../samples/bagmati/intent.ini"

// checkContent checks an intent and returns the exit status.
func checkContent(t *testing.T, content []byte, strict bool) int {
	t.Helper()
	file := filepath.Join(t.TempDir(), "intent.ini")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	c := &Check{Intent: true, Strict: strict, Args: fileArg{file}}
	err := c.Execute(nil)
	var exit *ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.Status
	}
	t.Fatalf("%v has no exit status", err)
	return 0
}

// Guards against an exit status by which a script sends a faulty intent, or holds back a sound one.
func TestCheckEndsWithAStatus(t *testing.T) {
	g := NewWithT(t)
	sound, err := os.ReadFile(sampleIntent)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(checkContent(t, sound, false)).To(Equal(0))
	unused := append(bytes.Clone(sound), "\n[class.unused]\ntier = 9\ntotal = 1s\n"...)
	g.Expect(checkContent(t, unused, false)).To(Equal(0))
	g.Expect(checkContent(t, unused, true)).To(Equal(exitWarnings))
	g.Expect(checkContent(t, bytes.Replace(sound, []byte("tier = 0"), []byte("tier = -1"), 1), false)).To(Equal(exitErrors))
	g.Expect(checkContent(t, bytes.Replace(sound, []byte("tier = 0"), []byte("tier = x"), 1), false)).To(Equal(exitErrors))
	g.Expect(checkContent(t, []byte("[class"), false)).To(Equal(exitErrors))
}

// Guards against findings that point to the wrong line, also where names hold dots.
func TestFindingsNameTheirLines(t *testing.T) {
	g := NewWithT(t)
	content := []byte("; intent\n[class.a.b]\ntier = 1\n\n[operator.x]\nread_only = true\n")
	found := locate(content, []intent.Problem{{Path: "operator"}, {Path: "class.a.b.floor"}, {Path: "class.a.b.tier"}, {Path: "operator.x.read_only"}})
	lines := []int{}
	for _, f := range found {
		lines = append(lines, f.Line)
	}
	g.Expect(lines).To(Equal([]int{0, 2, 3, 6}))
}

// Guards against differences that are taken from another intent than the one in force.
func TestCheckAgainstTheIntentInForce(t *testing.T) {
	g := NewWithT(t)
	inForce, err := intentfile.Load(sampleIntent)
	g.Expect(err).NotTo(HaveOccurred())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.Expect(r.URL.Path).To(Equal(admin.PathIntent))
		w.Header().Set("Content-Type", "application/json")
		g.Expect(json.NewEncoder(w).Encode(admin.Intent{Revision: 7, Document: inForce})).To(Succeed())
	}))
	defer server.Close()
	key := filepath.Join(t.TempDir(), "ops.key")
	g.Expect(os.WriteFile(key, []byte("operator-key-of-a-test"), 0o600)).To(Succeed())
	c := &Check{Intent: true, Against: "current", Connection: Connection{Address: server.URL, KeyFile: key}}
	doc, err := intentfile.Load(sampleIntent)
	g.Expect(err).NotTo(HaveOccurred())
	result := &CheckResult{}
	g.Expect(c.compare(doc, result)).To(Succeed())
	g.Expect(result.Base).To(Equal(uint64(7)))
	g.Expect(result.Differences).To(BeEmpty())
	doc.Classes[0].Hedge = !doc.Classes[0].Hedge
	g.Expect(c.compare(doc, result)).To(Succeed())
	g.Expect(result.Differences).To(HaveLen(1))
	g.Expect(result.Differences[0].Effects[0]).To(HavePrefix("hedge: "))
}

// FuzzCheck guards against mutated intents that end the check with a panic, and against documents that are
// valid and cannot be linted or compared.
func FuzzCheck(f *testing.F) {
	sample, err := os.ReadFile(sampleIntent)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sample)
	f.Add([]byte("[class.a]\ntier = 1\n[operator.b]\nkey_hash = x"))
	f.Fuzz(func(t *testing.T, content []byte) {
		doc, err := intentfile.Parse("intent.ini", content)
		_ = locate(content, findErrors(err))
		if err != nil {
			return
		}
		_ = locate(content, doc.Lint(time.Unix(0, 0)))
		if changes := intent.Diff(doc, doc); len(changes) > 0 {
			t.Fatalf("a document differs from itself: %v", changes)
		}
	})
}
