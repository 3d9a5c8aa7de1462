package follow

import (
	"context"
	"time"

	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

// pushDelay is how long changed loads wait for more of them.
const pushDelay = 2 * time.Millisecond

// PushLoads makes the follower send the changed loads to its member soon. It does not block.
func (f *Follower) PushLoads() {
	select {
	case f.loadsChanged <- struct{}{}:
	default:
	}
}

// pushLoads sends the changed loads each time PushLoads was called. What is lost comes with the next
// request.
func (f *Follower) pushLoads(ctx context.Context) {
	for {
		select {
		case <-f.loadsChanged:
		case <-ctx.Done():
			return
		}
		wait := time.NewTimer(pushDelay)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
		members := f.Members()
		update := f.cfg.LoadUpdate()
		if len(members) == 0 || len(update.Loads) == 0 {
			continue
		}
		if err := f.cfg.Links.Send(members[0], servingsvc.ChannelLoadUpdate, update); err != nil {
			f.cfg.Log.Debug().Err(err).Str("peer", members[0]).Msg("changed loads not sent")
		}
	}
}
