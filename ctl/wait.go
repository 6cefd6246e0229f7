package ctl

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// waitInterval is the delay between status polls in Wait.
const waitInterval = 100 * time.Millisecond

// Wait polls the routers until at least ready of them are ready. If a poll that ends after
// the timeout finds fewer, Wait returns an error that lists each router that is not ready
// and the reason. platform is set for routers on the users' platform.
func (c *Client) Wait(out io.Writer, platform bool, ready int, timeout time.Duration) error {
	if ready < 1 || ready > len(c.baseURLs) {
		return Error.New("invalid number of ready routers %d: must be 1 to %d, the number of routers queried", ready, len(c.baseURLs))
	}
	for deadline := time.Now().Add(timeout); ; time.Sleep(waitInterval) {
		reasons := notReadyReasons(c.statuses(platform))
		if n := len(c.baseURLs) - len(reasons); n >= ready {
			_, err := fmt.Fprintf(out, "%d of %d routers are ready\n", n, len(c.baseURLs))
			return Error.Wrap(err)
		}
		if time.Now().After(deadline) {
			return Error.New("%d of %d routers are ready after %s, want at least %d: %s",
				len(c.baseURLs)-len(reasons), len(c.baseURLs), timeout, ready, strings.Join(reasons, "; "))
		}
	}
}

// notReadyReasons returns one message for each router that is not ready or did not answer.
func notReadyReasons(routers []RouterStatus) []string {
	var reasons []string
	for _, r := range routers {
		switch {
		case r.Error != "":
			reasons = append(reasons, r.Router+" gave no answer: "+r.Error)
		case r.State != stateReady:
			reasons = append(reasons, r.Router+" is "+r.State)
		}
	}
	return reasons
}
