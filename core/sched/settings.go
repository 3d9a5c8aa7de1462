package sched

import (
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

const (
	// minFloor is the capacity share of a class without a declared floor, so that no
	// class starves. All such classes together get at most maxTotalMinFloor.
	minFloor         = 0.01
	maxTotalMinFloor = 0.05
)

// SetClasses applies the classes of an intent document. Queued tickets of a removed
// class are shed by Tick at the next health check; its grants continue.
func (s *Scheduler) SetClasses(doc *intent.Document) {
	seen := map[string]bool{}
	for _, c := range doc.Classes {
		seen[c.Name] = true
		if old := s.classes[c.Name]; old != nil {
			old.Class, old.removed = c, false
			continue
		}
		s.classes[c.Name] = newClass(c)
	}
	for name, c := range s.classes {
		c.removed = !seen[name]
	}
	s.sortClasses()
}

func (s *Scheduler) sortClasses() {
	s.classesByTier = s.classesByTier[:0]
	undeclared := 0
	for _, c := range s.classes {
		s.classesByTier = append(s.classesByTier, c)
		if c.Floor == 0 {
			undeclared++
		}
	}
	slices.SortFunc(s.classesByTier, func(a, b *class) int {
		if a.Tier != b.Tier {
			return a.Tier - b.Tier
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, c := range s.classesByTier {
		c.floor = c.Floor
		if c.Floor == 0 {
			c.floor = min(minFloor, maxTotalMinFloor/float64(undeclared))
		}
	}
}

// SetOrganisations applies the organisation weights of an intent document.
func (s *Scheduler) SetOrganisations(doc *intent.Document) {
	s.weights = make(map[string]float64, len(doc.Organisations))
	for _, o := range doc.Organisations {
		s.weights[o.Name] = o.Weight
	}
}

func (s *Scheduler) weight(organisation string) float64 {
	if w := s.weights[organisation]; w > 0 {
		return w
	}
	return 1
}

// SetSlotShare assigns this scheduler one of parts equal shares of each upstream's
// slots, for periods in which several instances schedule independently; part counts
// from 0. The remainder of an uneven division goes to shares that differ from upstream
// to upstream.
func (s *Scheduler) SetSlotShare(part, parts int) {
	s.shareIndex, s.shareCount = part, max(parts, 1)
	s.updateSlots()
}

func (s *Scheduler) updateSlots() {
	s.priorCapacity = 0
	for _, e := range s.engines {
		e.slots = s.slotShare(e)
		if !e.removed {
			s.priorCapacity += s.cfg.PriorTokenRate * float64(e.slots)
		}
	}
}

func (s *Scheduler) slotShare(e *engine) int {
	slots, remainder := e.Slots/s.shareCount, e.Slots%s.shareCount
	rotation := 0
	for _, b := range []byte(e.Name) {
		rotation = (rotation*31 + int(b)) % s.shareCount
	}
	if (s.shareIndex+rotation)%s.shareCount < remainder {
		slots++
	}
	return slots
}

// SetUpstreams replaces the list of upstreams. Grants on an upstream that is no longer
// listed are counted until they finish.
func (s *Scheduler) SetUpstreams(now time.Time, list []Upstream) []Effect {
	for _, e := range s.engines {
		e.removed = true
	}
	for _, u := range list {
		e := s.enginesByName[u.Name]
		if e == nil {
			e = s.addEngine(u.Name)
		}
		e.update(u)
	}
	s.updateSlots()
	s.dropRemovedEngines()
	s.dispatch(now)
	return s.takeEffects()
}

func (s *Scheduler) addEngine(name string) *engine {
	e := &engine{engineStats: s.estimator.engine(name), unstarted: map[string]*item{}, sentPrefixes: map[uint64]struct{}{}}
	e.Name = name
	s.enginesByName[name] = e
	s.engines = append(s.engines, e)
	return e
}

func (s *Scheduler) dropRemovedEngines() {
	s.engines = slices.DeleteFunc(s.engines, func(e *engine) bool {
		if !e.removed || e.inFlight > 0 {
			return false
		}
		delete(s.enginesByName, e.Name)
		delete(s.estimator.engines, e.Name)
		return true
	})
}
