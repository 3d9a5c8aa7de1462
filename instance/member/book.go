// Package member runs the membership protocol of one instance: it exchanges heartbeats over
// links, maintains the core/member table from them and updates the links' addresses.
package member

import (
	"sync/atomic"
)

// Book is the address book of an instance's links. It is created before both services, because
// links need it and membership needs links.
type Book struct {
	addresses atomic.Pointer[map[string]string]
}

// NewBook returns a book that contains the seeds: "ip:port" addresses of peer listeners from the
// settings. Until an instance's name is known, its address is used as its name.
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
