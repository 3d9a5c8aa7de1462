package control_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
)

// summingMachine is a state machine that sums bytes and records the time of the last command.
type summingMachine struct {
	sum byte
	at  time.Time
}

func (c *summingMachine) Apply(_ uint64, at time.Time, data []byte) []byte {
	c.sum += data[0]
	c.at = at
	return []byte{c.sum}
}
func (c *summingMachine) Snapshot() ([]byte, error) { return []byte{c.sum}, nil }
func (c *summingMachine) Restore(b []byte) error    { c.sum = b[0]; return nil }

func command(machine string, b byte) []byte {
	p, _ := control.Marshal(&control.Command{Machine: machine, Request: "r", Data: []byte{b}})
	return p
}

func TestMuxRoutesAndRestores(t *testing.T) {
	g := NewWithT(t)
	a, b := &summingMachine{}, &summingMachine{}
	m := control.NewMux(map[string]control.Machine{"a": a, "b": b})
	_, result, err := m.Apply(1, 50, command("a", 3))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result).To(Equal([]byte{3}))
	_, _, err = m.Apply(2, 40, command("b", 4))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.at.UnixNano()).To(Equal(int64(50)), "timestamps must not decrease")
	_, _, err = m.Apply(3, 60, command("c", 1))
	g.Expect(fault.CodeOf(err)).To(Equal(fault.Internal))
	_, _, err = m.Apply(3, 60, []byte{0xff})
	g.Expect(fault.CodeOf(err)).To(Equal(fault.Corrupt))

	snapshot, err := m.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	c, d := &summingMachine{}, &summingMachine{}
	n := control.NewMux(map[string]control.Machine{"a": c, "b": d})
	g.Expect(n.Restore(snapshot)).To(Succeed())
	g.Expect([]byte{c.sum, d.sum}).To(Equal([]byte{3, 4}))
	g.Expect(n.Index()).To(Equal(uint64(2)))
	old := control.NewMux(map[string]control.Machine{"a": c})
	g.Expect(fault.CodeOf(old.Restore(snapshot))).To(Equal(fault.Internal))
}
