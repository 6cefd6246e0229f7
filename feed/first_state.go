package feed

import (
	"context"
	"math/rand/v2"
	"time"
)

// firstStateInterval is how often a starting router checks whether it has a state.
const firstStateInterval = 20 * time.Millisecond

// awaitFirstState waits until a peer has sent its state or this router should list the platform
// itself.
//
// If all routers restart at once and each lists the platform, the data that the platform must
// send is the number of routers times that of upstreams: with 584 and 6,000 its link was busy for
// 12 s. The wait is randomized, as all routers may be waiting in vain.
func (f *Feed) awaitFirstState(ctx context.Context) {
	startedAt := f.now()
	wait := f.cfg.JoinTime + f.cfg.FirstStateWait + rand.N(f.cfg.FirstStateWait+1)
	for ctx.Err() == nil && f.Snapshot() == nil {
		waited := f.now().Sub(startedAt)
		if waited >= wait || waited >= f.cfg.JoinTime && f.isReader() {
			return
		}
		sleep(ctx, firstStateInterval)
	}
}
