// Package tlsconf makes TLS configurations from files and reads the certificate
// again when its files change, so that a renewal needs no restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/settings"
)

// checkEvery bounds how often handshakes look at the files' times.
const checkEvery = 5 * time.Second

// reloader holds a certificate and the times of the files it came from.
type reloader struct {
	certFile, keyFile string
	mu                sync.Mutex
	cert              *tls.Certificate
	loaded            time.Time
	checked           time.Time
}

// Server returns the configuration of the listeners, or nil when the settings
// name no certificate.
func Server(s settings.TLS) (*tls.Config, error) {
	if s.Certificate == "" {
		return nil, nil
	}
	r := &reloader{certFile: s.Certificate, keyFile: s.Key}
	if err := r.load(time.Now()); err != nil {
		return nil, err
	}
	get := func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.current(time.Now()), nil }
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: get}, nil
}

// Peer returns the configuration for links to other instances, or nil when the
// settings name no certificate: either all instances use TLS or none does.
func Peer(s settings.TLS) (*tls.Config, error) {
	if s.Certificate == "" {
		return nil, nil
	}
	return Authority(s.PeerAuthority)
}

// Authority returns a client's configuration that trusts the certificate
// authority in a file, or the system's authorities when the name is empty.
func Authority(file string) (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if file == "" {
		return c, nil
	}
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read the certificate authority")
	}
	c.RootCAs = x509.NewCertPool()
	if !c.RootCAs.AppendCertsFromPEM(pem) {
		return nil, fault.New(fault.Invalid, "%s holds no certificate", file)
	}
	return c, nil
}

// current returns the certificate, after a look at the files if the last one is
// old. A pair that cannot be read, such as one that is half written, leaves the
// one in use in place: the next look tries again.
func (r *reloader) current(now time.Time) *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.checked) >= checkEvery {
		r.checked = now
		if r.changed() {
			_ = r.read(now)
		}
	}
	return r.cert
}

func (r *reloader) load(now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checked = now
	return r.read(now)
}

func (r *reloader) read(now time.Time) error {
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "read the certificate %s with its key", r.certFile)
	}
	r.cert = &cert
	r.loaded = now
	return nil
}

func (r *reloader) changed() bool {
	for _, name := range []string{r.certFile, r.keyFile} {
		info, err := os.Stat(name)
		if err == nil && info.ModTime().After(r.loaded) {
			return true
		}
	}
	return false
}
