package link_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newTLSConfigs returns the TLS configurations of a server and of a client that trusts it.
func newTLSConfigs() (server, client *tls.Config) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}, &tls.Config{RootCAs: roots}
}

// proxy forwards connections. dropTraffic makes all open connections lose their data without
// closing them, while new connections work.
type proxy struct {
	net.Listener
	mu       sync.Mutex
	dropping []*atomic.Bool
	conns    atomic.Int64
	target   string
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{Listener: l, target: target}
	go p.run()
	DeferCleanup(func() { _ = l.Close() })
	return p
}

func (p *proxy) run() {
	for {
		c, err := p.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.conns.Add(1)
		dropping := &atomic.Bool{}
		p.mu.Lock()
		p.dropping = append(p.dropping, dropping)
		p.mu.Unlock()
		go pipe(c, up, dropping)
		go pipe(up, c, dropping)
	}
}

func (p *proxy) dropTraffic() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.dropping {
		m.Store(true)
	}
}

func pipe(dst, src net.Conn, dropping *atomic.Bool) {
	defer func() { _ = src.Close() }()
	defer func() { _ = dst.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if dropping.Load() {
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}
