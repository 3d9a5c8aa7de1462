// Package deployed tests the product as the users' platform runs it: real processes
// in both roles, settings files in the platform's format, and what is outside them
// played by the tests. Each process has a loopback address of its own, and the ports
// are the same for all, as on the platform's machines.
package deployed
