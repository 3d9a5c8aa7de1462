package tcpconn

import (
	"context"
	"net"
	"time"
)

const (
	// keepAliveIdle is the idle time before the first keep-alive probe, and keepAliveInterval the time
	// between two. The kernel takes whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// keepAliveProbes is how many probes may go unanswered: a sound peer may be silent for a second or
	// so, whenever that begins.
	keepAliveProbes = 3
	// silenceTimeout closes a connection whose sent bytes are not acknowledged. It also ends the probes,
	// whatever their number, and so is longer than the time until the last one.
	silenceTimeout = keepAliveIdle + (keepAliveProbes-1)*keepAliveInterval + 100*time.Millisecond
)

var dialer = net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}}

// Dial opens a TCP connection that notices within some four seconds that its peer is gone, and bears one
// that is silent for less than two. Its reads fail with io.EOF only after the peer has closed its side in order.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	SetUserTimeout(c, silenceTimeout)
	if tcp, ok := c.(*net.TCPConn); ok {
		return &dialled{Conn: Conn{tcp}}, nil
	}
	return c, nil
}
