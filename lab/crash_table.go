package lab

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/aspenswitch/aspenswitch/eventstream"
)

// crashingPartOf returns a part of a session of a class in 3 of 100 requests, on which engines
// crash from 10 s on. Their streams are cut inside an event.
func crashingPartOf(class int) *CrashingPart {
	return &CrashingPart{
		Class: class, Session: 1, Fraction: 0.03, From: 10 * time.Second, Restart: 700 * time.Millisecond,
		Framing: eventstream.Connection, CutInEvent: true,
	}
}

// WriteCrashTable runs the calm day of a sheet with a crashing part of each class, with and
// without the quarantine, and with streams that are cut inside an event and between two. It
// writes the results as a table.
func WriteCrashTable(out io.Writer, sheet *Sheet, seed uint64) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "crashing part of\tquarantine\tcut\tworth\tcrashes\tsent\tsent late\tstreams cut\tseem complete\tothers refused\tof")
	calm := scenarios(sheet, seed)[0]
	for class := range sheet.Classes {
		for _, disabled := range []bool{true, false} {
			for _, inEvent := range []bool{true, false} {
				f := sheet.Fleet()
				f.CrashingPart = crashingPartOf(class)
				f.CrashingPart.Disabled, f.CrashingPart.CutInEvent = disabled, inEvent
				r := Simulate(calm.load, f, Home)
				c := r.Crash
				fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
					sheet.Classes[class].Name, onOff(!disabled), cutName(inEvent), r.Worth,
					c.Crashes, c.Sent, c.SentLate, c.Interrupted, c.SeemComplete, c.Refused, c.Others)
			}
		}
	}
	return Error.Wrap(w.Flush())
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

func cutName(inEvent bool) string {
	if inEvent {
		return "inside an event"
	}
	return "between two"
}
