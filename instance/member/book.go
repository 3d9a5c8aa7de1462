// Package member runs the membership of one instance: it sends heartbeats over
// links, feeds core/member with what comes, and tells links where instances are.
package member

import (
	"sync/atomic"
)

// Book is the address book of an instance's links. It is made before both, as
// links need it and membership needs links.
type Book struct {
	addresses atomic.Pointer[map[string]string]
}

// NewBook returns a book that knows the seeds: "ip:port" addresses of peer
// listeners from the settings. Until an instance's name is known, its address
// stands for the name.
func NewBook(seeds []string) *Book {
	b := &Book{}
	known := map[string]string{}
	for _, s := range seeds {
		known[s] = s
	}
	b.addresses.Store(&known)
	return b
}

// Address implements link.AddressBook.
func (b *Book) Address(instance string) (string, bool) {
	addr, ok := (*b.addresses.Load())[instance]
	return addr, ok
}

func (b *Book) set(known map[string]string) { b.addresses.Store(&known) }
