package link

import (
	"bufio"
	"context"
	"math"
	"net"

	"github.com/gobwas/ws"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// maxHandshake bounds what is read in the handshake of a dialled connection, in bytes, with the
// certificates of TLS. The other side could send a head without end otherwise.
const maxHandshake = 64 << 10

// handshakeConn is a connection of which no more than left bytes are read.
type handshakeConn struct {
	net.Conn
	left int
}

// Read implements net.Conn.
func (c *handshakeConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, fault.New(fault.TooLarge, "the answer to a handshake exceeds %d bytes", maxHandshake)
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// dialWebSocket dials like dialer, and bounds what is read in the handshake.
func dialWebSocket(ctx context.Context, dialer ws.Dialer, url string) (net.Conn, *bufio.Reader, error) {
	dial := dialer.NetDial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	var bounded *handshakeConn
	dialer.NetDial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		bounded = &handshakeConn{c, maxHandshake}
		return bounded, nil
	}
	conn, buffered, _, err := dialer.Dial(ctx, url)
	if err != nil {
		return nil, nil, err
	}
	bounded.left = math.MaxInt
	if conn == net.Conn(bounded) {
		conn = bounded.Conn
	}
	return conn, buffered, nil
}
