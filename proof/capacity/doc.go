// Package capacity measures what an instance spends on control, for the slopes
// of docs/CAPACITY.md. It starts daemons as processes on loopback addresses,
// with a small generator of announcements in place of upstreams, and reads the
// processes' own figures. `make slopes` runs all of it; it is no part of the
// tests, as its result is figures and no verdict.
package capacity
