package founding_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/raft/founding"
)

var names = []string{"a", "b", "c"}

// simulation is three founders on a network that loses, delays and duplicates messages.
type simulation struct {
	rng             *rand.Rand
	now             time.Time
	nextID          raft.MemberID
	ids             map[string]raft.MemberID
	disks           map[string]founding.State
	founders        map[string]*founding.Founder
	inFlight        []founding.Envelope
	foundedClusters map[raft.ClusterID]bool
	adopters        map[raft.ClusterID]map[raft.MemberID]bool
	charters        map[raft.ClusterID]raft.Members
	partitioned     string // neither receives nor sends
}

func newSimulation(seed int64) *simulation {
	w := &simulation{rng: rand.New(rand.NewSource(seed)), now: time.Unix(0, 0), ids: map[string]raft.MemberID{}, disks: map[string]founding.State{},
		founders: map[string]*founding.Founder{}, foundedClusters: map[raft.ClusterID]bool{}, adopters: map[raft.ClusterID]map[raft.MemberID]bool{}, charters: map[raft.ClusterID]raft.Members{}}
	for _, n := range names {
		w.wipe(n)
		w.start(n)
	}
	return w
}

func (w *simulation) wipe(n string) {
	w.nextID++
	w.ids[n] = w.nextID
	delete(w.disks, n)
}

func (w *simulation) start(n string) {
	f, err := founding.New(n, w.ids[n], names, raft.ClusterID(fmt.Sprint(w.rng.Int63())), w.disks[n])
	if err != nil {
		panic(err)
	}
	w.founders[n] = f
}

func (w *simulation) drain(n string, crash float64) {
	r := w.founders[n].Ready()
	if n == w.partitioned {
		return
	}
	if w.rng.Float64() < crash {
		w.start(n)
		return
	}
	if r.State != nil {
		w.disks[n] = *r.State
		c := r.State.Charter
		if w.adopters[c.Cluster] == nil {
			w.adopters[c.Cluster] = map[raft.MemberID]bool{}
		}
		w.adopters[c.Cluster][w.ids[n]] = true
		w.charters[c.Cluster] = c.Members
		if r.State.Phase == founding.Founded {
			w.foundedClusters[c.Cluster] = true
		}
	}
	w.inFlight = append(w.inFlight, r.Messages...)
}

func (w *simulation) step(drop, crash float64) {
	w.now = w.now.Add(founding.ResendInterval / 4)
	batch := w.inFlight
	w.inFlight = nil
	w.rng.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
	for _, e := range batch {
		switch p := w.rng.Float64(); {
		case p < drop || e.To == w.partitioned:
		case p < 3*drop && len(w.inFlight) < 100:
			w.inFlight = append(w.inFlight, e)
		default:
			w.founders[e.To].Step(e.Msg)
			w.drain(e.To, crash)
		}
	}
	for _, n := range names {
		w.founders[n].Tick(w.now)
		w.drain(n, crash)
	}
}

// Guards against two histories, and so instances with different configurations: messages of
// the founding are delayed and duplicated while founders crash and lose their disks, and a
// second charter takes effect beside the first.
func TestOneHistoryAtMost(t *testing.T) {
	founded := 0
	for seed := range int64(400) {
		w := newSimulation(seed)
		for i := range 120 {
			w.step(0.15, 0.02)
			if i < 60 && w.rng.Float64() < 0.05 {
				// One disk is never lost: if all were, a new founding would be correct.
				n := names[(int(seed)+1+w.rng.Intn(2))%len(names)]
				w.wipe(n)
				w.start(n)
			}
		}
		if len(w.foundedClusters) > 1 {
			t.Fatalf("seed %d: %d histories began", seed, len(w.foundedClusters))
		}
		for c := range w.foundedClusters {
			for _, m := range w.charters[c] {
				if !w.adopters[c][m.ID] {
					t.Fatalf("seed %d: %s began without %s", seed, c, m.Name)
				}
			}
		}
		founded += len(w.foundedClusters)
	}
	NewWithT(t).Expect(founded).To(BeNumerically(">", 100))
}

func TestFoundingNeedsEveryListedFounder(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(1)
	w.partitioned = "c"
	for range 40 {
		w.step(0, 0)
	}
	g.Expect(w.disks).To(BeEmpty())
	w.partitioned = ""
	for range 20 {
		w.step(0, 0)
	}
	for _, n := range names {
		g.Expect(w.disks[n].Phase).To(Equal(founding.Founded))
	}
}

// Guards against a second, empty configuration: the disks of two of three founders are
// replaced at once, all are told to found again, and the two empty founders outvote the
// third.
func TestEmptyDisksDoNotFoundBesideAHistory(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(2)
	for range 20 {
		w.step(0, 0)
	}
	first := w.disks["c"].Charter.Cluster
	for _, n := range []string{"a", "b"} {
		w.wipe(n)
		w.start(n)
	}
	for range 40 {
		w.step(0, 0)
	}
	g.Expect(w.disks).NotTo(HaveKey("a"))
	g.Expect(w.disks["c"].Charter.Cluster).To(Equal(first))
	g.Expect(w.foundedClusters).To(HaveLen(1))
}
