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

// world is three founders over a network that loses, delays and doubles.
type world struct {
	rnd      *rand.Rand
	now      time.Time
	nextID   raft.MemberID
	ids      map[string]raft.MemberID
	disks    map[string]founding.State
	up       map[string]*founding.Founder
	net      []founding.Envelope
	begun    map[raft.ClusterID]bool
	takers   map[raft.ClusterID]map[raft.MemberID]bool
	charters map[raft.ClusterID]raft.Members
	silent   string // hears and says nothing
}

func newWorld(seed int64) *world {
	w := &world{rnd: rand.New(rand.NewSource(seed)), now: time.Unix(0, 0), ids: map[string]raft.MemberID{}, disks: map[string]founding.State{},
		up: map[string]*founding.Founder{}, begun: map[raft.ClusterID]bool{}, takers: map[raft.ClusterID]map[raft.MemberID]bool{}, charters: map[raft.ClusterID]raft.Members{}}
	for _, n := range names {
		w.wipe(n)
		w.start(n)
	}
	return w
}

func (w *world) wipe(n string) {
	w.nextID++
	w.ids[n] = w.nextID
	delete(w.disks, n)
}

func (w *world) start(n string) {
	f, err := founding.New(n, w.ids[n], names, raft.ClusterID(fmt.Sprint(w.rnd.Int63())), w.disks[n])
	if err != nil {
		panic(err)
	}
	w.up[n] = f
}

func (w *world) drain(n string, crash float64) {
	r := w.up[n].Ready()
	if n == w.silent {
		return
	}
	if w.rnd.Float64() < crash {
		w.start(n)
		return
	}
	if r.State != nil {
		w.disks[n] = *r.State
		c := r.State.Charter
		if w.takers[c.Cluster] == nil {
			w.takers[c.Cluster] = map[raft.MemberID]bool{}
		}
		w.takers[c.Cluster][w.ids[n]] = true
		w.charters[c.Cluster] = c.Members
		if r.State.Phase == founding.Founded {
			w.begun[c.Cluster] = true
		}
	}
	w.net = append(w.net, r.Messages...)
}

func (w *world) step(drop, crash float64) {
	w.now = w.now.Add(founding.ResendInterval / 4)
	batch := w.net
	w.net = nil
	w.rnd.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
	for _, e := range batch {
		switch p := w.rnd.Float64(); {
		case p < drop || e.To == w.silent:
		case p < 3*drop && len(w.net) < 100:
			w.net = append(w.net, e)
		default:
			w.up[e.To].Step(e.Msg)
			w.drain(e.To, crash)
		}
	}
	for _, n := range names {
		w.up[n].Tick(w.now)
		w.drain(n, crash)
	}
}

// What a user would see: after some disks were lost during the installation, two
// halves of the instances act on different configurations for good. What happens:
// messages of the founding are late and doubled while founders crash and lose
// their disks. Cause: a second charter comes into force beside the first.
func TestOneHistoryAtMost(t *testing.T) {
	founded := 0
	for seed := range int64(400) {
		w := newWorld(seed)
		for i := range 120 {
			w.step(0.15, 0.02)
			if i < 60 && w.rnd.Float64() < 0.05 {
				// One disk is never lost: without any, a new founding is right.
				n := names[(int(seed)+1+w.rnd.Intn(2))%len(names)]
				w.wipe(n)
				w.start(n)
			}
		}
		if len(w.begun) > 1 {
			t.Fatalf("seed %d: %d histories began", seed, len(w.begun))
		}
		for c := range w.begun {
			for _, m := range w.charters[c] {
				if !w.takers[c][m.ID] {
					t.Fatalf("seed %d: %s began without %s", seed, c, m.Name)
				}
			}
		}
		founded += len(w.begun)
	}
	NewWithT(t).Expect(founded).To(BeNumerically(">", 100))
}

func TestFoundingNeedsEveryListedFounder(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	w.silent = "c"
	for range 40 {
		w.step(0, 0)
	}
	g.Expect(w.disks).To(BeEmpty())
	w.silent = ""
	for range 20 {
		w.step(0, 0)
	}
	for _, n := range names {
		g.Expect(w.disks[n].Phase).To(Equal(founding.Founded))
	}
}

// What a user would see: a wiped instance founds a second, empty configuration.
// What happens: the disks of two of three founders are replaced at once, and all
// are told to found again. Cause: the founders that are empty outvote the third.
func TestEmptyDisksDoNotFoundBesideAHistory(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2)
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
	g.Expect(w.begun).To(HaveLen(1))
}
