// Package tlsconf creates TLS configurations from files. It reloads the certificate when its files
// change, so that a renewal needs no restart.
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

// checkInterval is the minimum time between two checks of the files by handshakes.
const checkInterval = 5 * time.Second

// reloader holds a certificate and the versions of the files from which it was loaded.
type reloader struct {
	certFile, keyFile string
	mu                sync.Mutex
	cert              *tls.Certificate
	loaded            [2]fileVersion
	lastCheck         time.Time
}

// fileVersion identifies a version of a file. Any difference counts as a change, as a file that a
// rename puts in place may be older than its predecessor.
type fileVersion struct {
	modTime time.Time
	size    int64
}

// Server returns the configuration of the listeners, or nil if the settings name no certificate.
func Server(s settings.TLS) (*tls.Config, error) {
	if s.Certificate == "" {
		return nil, nil
	}
	r := &reloader{certFile: s.Certificate, keyFile: s.Key}
	if err := r.load(time.Now()); err != nil {
		return nil, err
	}
	getCertificate := func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.current(time.Now()), nil }
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: getCertificate}, nil
}

// Peer returns the configuration for links to other instances, or nil if the settings name no
// certificate: either all instances use TLS or none does.
func Peer(s settings.TLS) (*tls.Config, error) {
	if s.Certificate == "" {
		return nil, nil
	}
	return Authority(s.PeerAuthority)
}

// Authority returns a client configuration that trusts the certificate authority in a file, or the
// system's authorities if file is empty.
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
		return nil, fault.New(fault.Invalid, "%s contains no certificate", file)
	}
	return c, nil
}

// current returns the certificate, and checks the files before if the last check is old. If the
// files cannot be loaded, for example while they are being written, the current certificate stays
// in use and the next check tries again.
func (r *reloader) current(now time.Time) *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastCheck) >= checkInterval {
		r.lastCheck = now
		if r.filesChanged() {
			_ = r.read()
		}
	}
	return r.cert
}

func (r *reloader) load(now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastCheck = now
	return r.read()
}

func (r *reloader) read() error {
	// The versions are read first, so that the next check sees a change during the load.
	versions := r.fileVersions()
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "read the certificate %s with its key", r.certFile)
	}
	r.cert = &cert
	r.loaded = versions
	return nil
}

func (r *reloader) filesChanged() bool { return r.fileVersions() != r.loaded }

func (r *reloader) fileVersions() (s [2]fileVersion) {
	for i, name := range []string{r.certFile, r.keyFile} {
		if info, err := os.Stat(name); err == nil {
			s[i] = fileVersion{modTime: info.ModTime(), size: info.Size()}
		}
	}
	return s
}
