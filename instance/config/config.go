// Package config holds the configuration that this instance acts on: one
// immutable view that is swapped as a whole when a newer revision arrives.
package config

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

// View is one revision with its indexes. It is never changed.
type View struct {
	Revision  uint64
	Document  *intent.Document
	orgKeys   map[string]keyOwner
	operators map[string]string
}

type keyOwner struct {
	name    string
	expires time.Time
}

// NewView indexes a document.
func NewView(revision uint64, doc *intent.Document) *View {
	v := &View{Revision: revision, Document: doc, orgKeys: map[string]keyOwner{}, operators: map[string]string{}}
	for _, o := range doc.Organisations {
		for _, h := range o.KeyHashes {
			digest, expires := intent.SplitKeyHash(h)
			v.orgKeys[digest] = keyOwner{name: o.Name, expires: expires}
		}
	}
	for _, o := range doc.Operators {
		v.operators[o.KeyHash] = o.Name
	}
	return v
}

// Organisation returns whose API key this is. The key is compared by its
// SHA-256 digest, so that the time a comparison takes tells nothing about keys.
func (v *View) Organisation(key string, now time.Time) (*intent.Organisation, error) {
	owner, ok := v.orgKeys[HashKey(key)]
	if !ok {
		return nil, fault.New(fault.Unauthenticated, "the API key is not known")
	}
	if !owner.expires.IsZero() && now.After(owner.expires) {
		return nil, fault.New(fault.Unauthenticated, "the API key expired on %s", owner.expires.Format(time.DateOnly))
	}
	return v.Document.Organisation(owner.name), nil
}

// Operator returns whose operator key this is.
func (v *View) Operator(key string) (*intent.Operator, error) {
	name, ok := v.operators[HashKey(key)]
	if !ok {
		return nil, fault.New(fault.Unauthenticated, "the operator key is not known")
	}
	for i := range v.Document.Operators {
		if v.Document.Operators[i].Name == name {
			return &v.Document.Operators[i], nil
		}
	}
	return nil, fault.New(fault.Internal, "operator %q is not in its own revision", name)
}

// Upstream checks an upstream's credential and returns the rule that trusts it.
func (v *View) Upstream(name, key string) (*intent.Upstream, error) {
	rule := v.Document.UpstreamRule(name)
	if rule == nil || subtle.ConstantTimeCompare([]byte(rule.KeyHash), []byte(HashKey(key))) != 1 {
		return nil, fault.New(fault.Unauthenticated, "no rule trusts upstream %q with this credential", name)
	}
	return rule, nil
}

// HashKey returns the hex SHA-256 digest of a credential.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Bearer returns the credential of an Authorization header.
func Bearer(header string) (string, error) {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", fault.New(fault.Unauthenticated, "send the credential as Authorization: Bearer KEY")
	}
	return key, nil
}

// Service holds the current view and tells subscribers about newer ones.
type Service struct {
	current atomic.Pointer[View]
	mu      sync.Mutex
	subs    []func(*View)
}

// New returns a service that has no revision yet.
func New() *Service { return &Service{} }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// Current returns the view to act on, or a failure while no revision is known.
func (s *Service) Current() (*View, error) {
	if v := s.current.Load(); v != nil {
		return v, nil
	}
	return nil, fault.New(fault.Unavailable, "this instance has not learned a configuration yet").WithRetryAfter(time.Second)
}

// Apply puts a revision in force and reports whether it did. An older revision
// is refused: it can arrive late over another path, and acting on it would undo
// what operators were told is accepted.
func (s *Service) Apply(revision uint64, doc *intent.Document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.current.Load(); v != nil && revision <= v.Revision {
		return false
	}
	v := NewView(revision, doc)
	s.current.Store(v)
	for _, f := range s.subs {
		f(v)
	}
	return true
}

// Subscribe calls f with the current view, if there is one, and then with every
// newer one, in order.
func (s *Service) Subscribe(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs = append(s.subs, f)
	if v := s.current.Load(); v != nil {
		f(v)
	}
}
