package sched

import (
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

const (
	// leastFloor is the share of capacity of a class without a declared floor,
	// so that none starves; all such classes together get at most leastFloors.
	leastFloor  = 0.01
	leastFloors = 0.05
)

// SetClasses puts the classes of a document in force. Queued tickets of a class
// that is gone are shed by the next Tick; grants go on.
func (s *Scheduler) SetClasses(doc *intent.Document) {
	seen := map[string]bool{}
	for _, c := range doc.Classes {
		seen[c.Name] = true
		if old := s.classes[c.Name]; old != nil {
			old.Class, old.gone = c, false
			continue
		}
		s.classes[c.Name] = newClass(c)
	}
	for name, c := range s.classes {
		c.gone = !seen[name]
	}
	s.sortClasses()
}

func (s *Scheduler) sortClasses() {
	s.order = s.order[:0]
	undeclared := 0
	for _, c := range s.classes {
		s.order = append(s.order, c)
		if c.Floor == 0 {
			undeclared++
		}
	}
	slices.SortFunc(s.order, func(a, b *class) int {
		if a.Tier != b.Tier {
			return a.Tier - b.Tier
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, c := range s.order {
		c.floor = c.Floor
		if c.Floor == 0 {
			c.floor = min(leastFloor, leastFloors/float64(undeclared))
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
	s.part, s.parts = part, max(parts, 1)
	s.countSlots()
}

func (s *Scheduler) countSlots() {
	s.whole = 0
	for _, e := range s.engines {
		e.slots = s.slotsOf(e)
		if !e.gone {
			s.whole += s.cfg.PriorTokenRate * float64(e.slots)
		}
	}
}

func (s *Scheduler) slotsOf(e *engine) int {
	whole, rest := e.Slots/s.parts, e.Slots%s.parts
	turn := 0
	for _, b := range []byte(e.Name) {
		turn = (turn*31 + int(b)) % s.parts
	}
	if (s.part+turn)%s.parts < rest {
		whole++
	}
	return whole
}

// SetUpstreams replaces the list of upstreams. Grants on one that is no longer
// listed stay counted until they finish.
func (s *Scheduler) SetUpstreams(now time.Time, list []Upstream) []Effect {
	for _, e := range s.engines {
		e.gone = true
	}
	for _, u := range list {
		e := s.byName[u.Name]
		if e == nil {
			e = s.addEngine(u.Name)
		}
		e.update(u)
	}
	s.countSlots()
	s.dropGone()
	s.dispatch(now)
	return s.take()
}

func (s *Scheduler) addEngine(name string) *engine {
	e := &engine{figures: s.known.engine(name), unstarted: map[string]*item{}, sent: map[uint64]struct{}{}}
	e.Name = name
	s.byName[name] = e
	s.engines = append(s.engines, e)
	return e
}

func (s *Scheduler) dropGone() {
	s.engines = slices.DeleteFunc(s.engines, func(e *engine) bool {
		if !e.gone || e.inFlight > 0 {
			return false
		}
		delete(s.byName, e.Name)
		delete(s.known.engines, e.Name)
		return true
	})
}
