package service

import (
	"maps"
	"strconv"
	"sync"
)

type state int

const (
	stateUnknown state = iota
	stateRunning
	stateDone
)

// Counts is what happened, by key and by request ID.
type Counts struct {
	Effects   int            `json:"effects"`
	ByKey     map[string]int `json:"by_key"`
	ByRequest map[string]int `json:"by_request"`
}

// Book is the memory of a service: every effect, in order.
type Book struct {
	mu       sync.Mutex
	bookings []Booking
	running  map[string]Booking // by request ID and by key
	counts   Counts
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{running: map[string]Booking{}, counts: Counts{ByKey: map[string]int{}, ByRequest: map[string]int{}}}
}

// Counts returns the number of effects so far.
func (k *Book) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Counts{Effects: len(k.bookings), ByKey: maps.Clone(k.counts.ByKey), ByRequest: maps.Clone(k.counts.ByRequest)}
}

func (k *Book) begin(b Booking) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running[b.RequestID] = b
	k.running[b.Key] = b
}

func (k *Book) abandon(b Booking) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.running, b.RequestID)
	delete(k.running, b.Key)
}

func (k *Book) run(b Booking) Booking {
	k.mu.Lock()
	defer k.mu.Unlock()
	b.ID = "b-" + strconv.Itoa(len(k.bookings)+1)
	k.bookings = append(k.bookings, b)
	k.counts.ByKey[b.Key]++
	k.counts.ByRequest[b.RequestID]++
	delete(k.running, b.RequestID)
	delete(k.running, b.Key)
	return b
}

func (k *Book) find(id string) (Booking, state) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, b := range k.bookings {
		if b.ID == id {
			return b, stateDone
		}
	}
	return Booking{}, stateUnknown
}

// operation finds the first effect of a key or request ID.
func (k *Book) operation(ref string) (Booking, state) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, b := range k.bookings {
		if ref != "" && (b.Key == ref || b.RequestID == ref) {
			return b, stateDone
		}
	}
	if b, ok := k.running[ref]; ok && ref != "" {
		return b, stateRunning
	}
	return Booking{}, stateUnknown
}
