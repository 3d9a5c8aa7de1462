// Package tunnel carries connections to upstreams through other instances. An instance whose own
// links to the upstreams are cut opens such a connection through one that reaches them. The other
// instance copies bytes and decides nothing: choice, limits, budgets, deadlines and the end of a
// request stay with the instance that has the caller.
//
// A tunnel is a WebSocket connection: binary frames hold the bytes, a close frame is the orderly
// end of the upstream's connection, and a ping asks for the tunnel not to be used again. A tunnel
// that ends without a close frame was broken, so that an answer which ends with its connection does
// not look complete when the instance between them ends. Tunnels are never opened through tunnels.
package tunnel

import "time"

// HTTP statuses by which an instance rejects a tunnel.
const (
	// statusRefused means that the upstream refused the connection, and statusSilent that it did not
	// answer though others do.
	statusRefused = 502
	statusSilent  = 504
	// statusUnable means that this instance can't help: it is cut off itself, drains, has too many
	// tunnels, or does not know the upstream.
	statusUnable = 503
)

const (
	// maxTunnels bounds the tunnels that an instance serves; each uses two file descriptors.
	maxTunnels = 512
	// maxFrame is how many bytes are put into one frame.
	maxFrame = 16 << 10
	// maxIdle closes a tunnel in which nothing passes, as its other end may be gone without a word.
	maxIdle = 2 * time.Minute
	// dialTimeout bounds the opening of a tunnel: the connect to another instance, and the connect and
	// the check that it makes.
	dialTimeout = 1500 * time.Millisecond
	// maxTries is how many instances are tried for one tunnel. One that has not answered within
	// tryStagger may be cut off without knowing it, so the next one is tried beside it.
	maxTries   = 4
	tryStagger = 80 * time.Millisecond
	// avoidFor is how long an instance that could not help is tried after all others.
	avoidFor = time.Second
)
