package kernel_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
)

func TestKernel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kernel")
}

type probe struct {
	name string
	log  *[]string
	fail error
}

func (p *probe) Start(context.Context) error {
	*p.log = append(*p.log, "start "+p.name)
	return p.fail
}

func (p *probe) Stop(context.Context) error {
	*p.log = append(*p.log, "stop "+p.name)
	return nil
}

func (p *probe) Drain(context.Context) error {
	*p.log = append(*p.log, "drain "+p.name)
	return nil
}

var _ = Describe("Kernel", func() {
	var log []string
	module := func(name string, fail error, needs ...string) kernel.Module {
		return kernel.Module{Name: name, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
			for _, n := range needs {
				if _, err := kernel.Lookup[*probe](k, n); err != nil {
					return nil, err
				}
			}
			return &probe{name: name, log: &log, fail: fail}, nil
		}}
	}
	BeforeEach(func() { log = nil })

	It("starts in order of need, drains and stops in reverse", func() {
		k := kernel.New()
		Expect(k.Register(module("a", nil, "b"), module("b", nil))).To(Succeed())
		ctx := context.Background()
		Expect(k.Start(ctx)).To(Succeed())
		Expect(k.Drain(ctx)).To(Succeed())
		Expect(k.Stop(ctx)).To(Succeed())
		Expect(log).To(Equal([]string{"start b", "start a", "drain a", "drain b", "stop a", "stop b"}))
	})

	It("stops what was started when a later start fails", func() {
		k := kernel.New()
		Expect(k.Register(module("a", nil), module("b", fault.New(fault.Unavailable, "no"), "a"))).To(Succeed())
		Expect(fault.CodeOf(k.Start(context.Background()))).To(Equal(fault.Unavailable))
		Expect(log).To(Equal([]string{"start a", "start b", "stop a"}))
	})

	It("refuses a cycle, a missing need and a double name", func() {
		k := kernel.New()
		Expect(k.Register(module("a", nil, "b"), module("b", nil, "a"))).To(Succeed())
		Expect(k.Register(module("a", nil))).NotTo(Succeed())
		Expect(fault.CodeOf(k.Start(context.Background()))).To(Equal(fault.Internal))
		k = kernel.New()
		Expect(k.Register(module("a", nil, "gone"))).To(Succeed())
		Expect(fault.CodeOf(k.Start(context.Background()))).To(Equal(fault.NotFound))
	})
})
