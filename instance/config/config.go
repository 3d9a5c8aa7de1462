// Package config holds the configuration in force on this instance: an immutable view that is
// replaced atomically when a newer revision arrives.
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

// View is a revision of the intent with indexes for key look-ups. It is immutable.
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

// NewView returns an indexed view of a document.
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

// Organisation returns the organisation that an API key belongs to. Keys are looked up by SHA-256
// digest, so that timing reveals nothing about them.
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

// Operator returns the operator that a key belongs to.
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

// Upstream verifies an upstream's credential and returns the rule that admits it.
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

// Bearer returns the bearer credential of an Authorization header.
func Bearer(header string) (string, error) {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", fault.New(fault.Unauthenticated, "send the credential as Authorization: Bearer KEY")
	}
	return key, nil
}

// Service holds the current view and notifies subscribers of newer ones.
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

// Current returns the view in force, or fault.Unavailable before the first revision.
func (s *Service) Current() (*View, error) {
	if v := s.current.Load(); v != nil {
		return v, nil
	}
	return nil, fault.New(fault.Unavailable, "this instance has not learned a configuration yet").WithRetryAfter(time.Second)
}

// Apply puts a revision in force if it is newer than the current one, and reports whether it did.
// An older revision can arrive late over another path; applying it would undo a change that was
// reported to operators as accepted.
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

// Subscribe calls f with the current view, if any, and then with every newer view in order.
func (s *Service) Subscribe(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs = append(s.subs, f)
	if v := s.current.Load(); v != nil {
		f(v)
	}
}
