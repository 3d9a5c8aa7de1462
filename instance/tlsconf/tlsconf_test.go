package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/settings"
)

// writeKeyPair writes a certificate with the given serial number, and its key.
func writeKeyPair(g Gomega, dir string, serial int64) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "i"}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	private, err := x509.MarshalPKCS8PrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	s := settings.TLS{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	g.Expect(os.WriteFile(s.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	g.Expect(os.WriteFile(s.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600)).To(Succeed())
	return s
}

func serial(g Gomega, r *reloader, now time.Time) int64 {
	c, err := x509.ParseCertificate(r.current(now).Certificate[0])
	g.Expect(err).NotTo(HaveOccurred())
	return c.SerialNumber.Int64()
}

// Guards against a renewed certificate that breaks handshakes or is ignored until a restart: files
// may be partly written, or carry an older date than their predecessors.
func TestRenewedCertificateIsReloaded(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	s := writeKeyPair(g, dir, 1)
	now := time.Now()
	r := &reloader{certFile: s.Certificate, keyFile: s.Key}
	g.Expect(r.load(now)).To(Succeed())
	g.Expect(serial(g, r, now)).To(Equal(int64(1)))

	old, err := os.ReadFile(s.Key)
	g.Expect(err).NotTo(HaveOccurred())
	writeKeyPair(g, dir, 2)
	renewed, err := os.ReadFile(s.Key)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(s.Key, old, 0o600)).To(Succeed())
	g.Expect(serial(g, r, now.Add(checkInterval/2))).To(Equal(int64(1)), "the files must not be checked before the interval has passed")
	g.Expect(serial(g, r, now.Add(checkInterval))).To(Equal(int64(1)), "the old certificate must stay while its key is still the old one")

	g.Expect(os.WriteFile(s.Key, renewed, 0o600)).To(Succeed())
	past := now.Add(-24 * time.Hour)
	g.Expect(os.Chtimes(s.Certificate, past, past)).To(Succeed())
	g.Expect(os.Chtimes(s.Key, past, past)).To(Succeed())
	g.Expect(serial(g, r, now.Add(2*checkInterval))).To(Equal(int64(2)))
}

func TestMismatchedKeyPairIsRejected(t *testing.T) {
	g := NewWithT(t)
	s := writeKeyPair(g, t.TempDir(), 1)
	s.Key = writeKeyPair(g, t.TempDir(), 2).Key
	_, err := Server(s)
	g.Expect(fault.CodeOf(err)).To(Equal(fault.Invalid))
	g.Expect(Server(settings.TLS{})).To(BeNil())
}
