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

type fakeService struct {
	name     string
	log      *[]string
	startErr error
}

func (p *fakeService) Start(context.Context) error {
	*p.log = append(*p.log, "start "+p.name)
	return p.startErr
}

func (p *fakeService) Stop(context.Context) error {
	*p.log = append(*p.log, "stop "+p.name)
	return nil
}

func (p *fakeService) Drain(context.Context) error {
	*p.log = append(*p.log, "drain "+p.name)
	return nil
}

var _ = Describe("Kernel", func() {
	var log []string
	module := func(name string, fail error, needs ...string) kernel.Module {
		return kernel.Module{Name: name, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
			for _, n := range needs {
				if _, err := kernel.Lookup[*fakeService](k, n); err != nil {
					return nil, err
				}
			}
			return &fakeService{name: name, log: &log, startErr: fail}, nil
		}}
	}
	BeforeEach(func() { log = nil })

	It("starts in dependency order, drains and stops in reverse order", func() {
		k := kernel.New()
		Expect(k.Register(module("a", nil, "b"), module("b", nil))).To(Succeed())
		ctx := context.Background()
		Expect(k.Start(ctx)).To(Succeed())
		Expect(k.Drain(ctx)).To(Succeed())
		Expect(k.Stop(ctx)).To(Succeed())
		Expect(log).To(Equal([]string{"start b", "start a", "drain a", "drain b", "stop a", "stop b"}))
	})

	It("stops the started services when a later start fails", func() {
		k := kernel.New()
		Expect(k.Register(module("a", nil), module("b", fault.New(fault.Unavailable, "no"), "a"))).To(Succeed())
		Expect(fault.CodeOf(k.Start(context.Background()))).To(Equal(fault.Unavailable))
		Expect(log).To(Equal([]string{"start a", "start b", "stop a"}))
	})

	It("rejects a dependency cycle, a missing dependency and a duplicate name", func() {
		k := kernel.New()
		Expect(k.Register(module("a", nil, "b"), module("b", nil, "a"))).To(Succeed())
		Expect(k.Register(module("a", nil))).NotTo(Succeed())
		Expect(fault.CodeOf(k.Start(context.Background()))).To(Equal(fault.Internal))
		k = kernel.New()
		Expect(k.Register(module("a", nil, "gone"))).To(Succeed())
		Expect(fault.CodeOf(k.Start(context.Background()))).To(Equal(fault.NotFound))
	})
})
