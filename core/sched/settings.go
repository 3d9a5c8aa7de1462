package sched

import (
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

const (
	// minFloor is the share of capacity of a class without a declared floor,
	// so that none starves; all such classes together get at most leastFloors.
	minFloor         = 0.01
	maxTotalMinFloor = 0.05
)

// SetClasses puts the classes of a document in force. Queued tickets of a class
// that is gone are shed by the next Tick; grants go on.
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

// SetOrganisations puts the weights of a document in force.
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

// SetSlotShare gives this scheduler one of parts equal parts of each upstream's
// slots, for times in which several instances schedule for themselves; part
// counts from 0. What does not divide evenly goes to a part that differs from
// upstream to upstream.
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
	whole, rest := e.Slots/s.shareCount, e.Slots%s.shareCount
	turn := 0
	for _, b := range []byte(e.Name) {
		turn = (turn*31 + int(b)) % s.shareCount
	}
	if (s.shareIndex+turn)%s.shareCount < rest {
		whole++
	}
	return whole
}

// SetUpstreams replaces the list of upstreams. Grants on one that is no longer
// listed stay counted until they finish.
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
