package client_test

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/operator/client"
)

// Guards against a command that cannot use TLS, or that trusts a server without a known certificate or under
// another name.
func TestAnswersOverTLS(t *testing.T) {
	g := NewWithT(t)
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }))
	defer s.Close()
	trusting := s.Client().Transport.(*http.Transport).TLSClientConfig
	otherName := trusting.Clone()
	otherName.ServerName = "other.example.org"
	status := func(config *tls.Config) error {
		_, err := (&client.Client{Address: s.URL, TLS: config}).Status()
		return err
	}
	g.Expect(status(trusting)).To(Succeed())
	g.Expect(trusting.ServerName).To(BeEmpty(), "the caller's configuration is left as it is")
	g.Expect(fault.CodeOf(status(nil))).To(Equal(fault.Unavailable))
	g.Expect(fault.CodeOf(status(otherName))).To(Equal(fault.Unavailable))
}
