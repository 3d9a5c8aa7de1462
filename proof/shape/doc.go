// Package shape holds the checks on the form of the tree that no linter makes:
// no failure without a type, no shipped package that starts a process, exactly
// two programs, both linked to the C library.
package shape
