package experiment

import "github.com/aspenswitch/aspenswitch/sched"

// GapBound is the largest weighted service gap, in slot seconds per unit of share,
// that the design allows between two backlogged teams; docs/FAIRNESS.md derives
// it. largest is the cost of the load's largest request. It is loose: it lets
// every slot be wrong at once.
func GapBound(l Load, cfg sched.Config, largest float64) float64 {
	least := l.Teams[0].Share
	for _, t := range l.Teams {
		least = min(least, t.Share)
	}
	slots := float64(l.Slots())
	unseen := cfg.ReportEvery.Seconds() + tickEvery.Seconds() + 2*l.OneWay.Seconds()
	known := (cfg.Hysteresis + float64(l.Routers)*cfg.Fairness.ReportError) * l.MeanCost
	return known + slots/least*(unseen+cfg.Fairness.Residual*l.MeanCost+largest)
}
