package duty_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/duty"
)

// Operators check disputed bills with the view. Every member must show who holds the duties, what
// was reported of each window, and which windows are overdue.
func TestViewShowsReportsAndOverdueWindows(t *testing.T) {
	simulate(t, func(w *simulation) {
		time.Sleep(40 * time.Second)
		holder := w.holder()
		v := holder.Service.View()
		Expect(v.Holder).To(Equal(holder.name))
		Expect(v.Number).To(Equal(uint64(1)))
		Expect(v.LeaseLeftMS).To(BeNumerically(">", 0))
		Expect(v.Windows).NotTo(BeEmpty())
		window := v.Windows[0]
		Expect(window.State).To(Equal("acknowledged"))
		body, _ := w.provider.got(window.Window)
		Expect(body).NotTo(BeEmpty())
		Expect(window.Requests).To(BeNumerically(">", 0))
		var sum uint64
		for _, n := range window.Organisations {
			sum += n
		}
		Expect(sum).To(Equal(window.Requests))
		Expect(window.StartsAt).To(Equal(time.Unix(window.Window*int64(span.Seconds()), 0).UTC()))
		for _, n := range w.live() {
			Expect(n.Service.View().Windows).NotTo(BeEmpty(), n.name)
			Expect(n.Service.View().Holder).To(Equal(holder.name))
		}

		w.provider.set(func(p *provider) {
			for _, n := range w.live() {
				p.unreachable[n.name] = true
			}
		})
		time.Sleep(delay + 3*span)
		overdue := 0
		for _, x := range w.live()[0].Service.View().Windows {
			if x.Overdue {
				Expect(x.State).To(Equal(duty.StateOpen))
				overdue++
			}
		}
		Expect(overdue).To(BeNumerically(">", 0))
		w.provider.set(func(p *provider) { p.unreachable = map[string]bool{} })
		time.Sleep(30 * time.Second)
		for _, x := range w.live()[0].Service.View().Windows {
			Expect(x.Overdue).To(BeFalse(), "window %d", x.Window)
		}
	})
}
