package loop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/loop"
)

// A service stops while other goroutines still post work to it. They must not block forever, and
// no work may run after the loop has ended.
func TestWorkRunsInOrderAndIsDroppedAfterEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		l := loop.New(2, time.Now)
		var executed []int
		steps := 0
		go l.Run(ctx, time.Second, func(time.Time) { steps++ })
		for i := range 10 {
			l.Post(func(time.Time) { executed = append(executed, i) })
		}
		time.Sleep(3500 * time.Millisecond)
		synctest.Wait()
		g.Expect(executed).To(Equal([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}))
		g.Expect(steps).To(Equal(3))
		cancel()
		<-l.Done()
		for range 5 {
			l.Post(func(time.Time) { t.Error("work ran after the loop had ended") })
		}
		time.Sleep(time.Minute)
		g.Expect(steps).To(Equal(3))
	})
}
