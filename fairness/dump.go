package fairness

import "time"

// TeamDump is one team's account for operators.
type TeamDump struct {
	Team TeamID `json:"team"`
	// Service is the fleet's slot time for the team, in seconds.
	Service float64 `json:"serviceSeconds"`
	Key     float64 `json:"key"`
	Lift    float64 `json:"liftSeconds"`
	// Waiting and Running are the last known counts over the fleet; OwnWaiting
	// and OwnRunning are those of this router.
	Waiting    int `json:"waiting"`
	Running    int `json:"running"`
	OwnWaiting int `json:"ownWaiting"`
	OwnRunning int `json:"ownRunning"`
}

// Dump returns every team's account at now.
func (a *Accounts) Dump(now time.Time) []TeamDump {
	var all []TeamDump
	for _, acc := range a.sorted {
		d := TeamDump{
			Team: acc.id, Key: a.key(now, acc), Lift: acc.lift,
			Service: acc.base + a.ownService(now, acc),
			Waiting: acc.own.Waiting, Running: acc.own.Running,
			OwnWaiting: acc.own.Waiting, OwnRunning: acc.own.Running,
		}
		for _, p := range a.peers {
			r, ok := p.reports[acc.id]
			if !ok {
				continue
			}
			d.Service += r.usage.Service
			if !p.unreachable {
				d.Waiting += r.usage.Waiting
				d.Running += r.usage.Running
			}
		}
		all = append(all, d)
	}
	return all
}
