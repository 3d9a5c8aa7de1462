// Package overhead holds the benchmark of what the router adds to a request,
// against a bare forwarder in the same run.
package overhead
