package gateway_test

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func selfSigned() tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

var _ = Describe("The listener with TLS", func() {
	// Over TLS, a disconnect of the caller is detected on the raw connection. The read
	// timeout closes the connections of callers that do not speak TLS or send nothing.
	It("serves streams, detects disconnects and closes connections without TLS", func() {
		limits := defaultLimits()
		limits.ReadTimeout = 500 * time.Millisecond
		e := newEngine(40_000)
		p := newTestGateway(e, limits, &tls.Config{Certificates: []tls.Certificate{selfSigned()}})
		mute, plain := p.dial(), p.dial()
		_, err := io.WriteString(plain, request(goodKey, chatBody("x", false)))
		Expect(err).NotTo(HaveOccurred())
		secure, err := tls.Dial("tcp", p.address, &tls.Config{InsecureSkipVerify: true})
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(secure, request(goodKey, chatBody(strings.Repeat("x", 500), true)))
		Expect(err).NotTo(HaveOccurred())
		line, err := bufio.NewReader(secure).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(ContainSubstring("200 OK"))
		Expect(p.queue.leases()).To(Equal(1))
		Expect(secure.Close()).To(Succeed())
		Eventually(p.queue.leases, testTimeout).Should(BeZero())
		for _, c := range []net.Conn{mute, plain} {
			_, err := io.Copy(io.Discard, c)
			_ = err // the server may close or reset the connection
		}
	})
})
