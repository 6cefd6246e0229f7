package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/dispatch"
)

// Guards against wrong, negative or unbounded figures from malformed Load headers.
func TestStatedLoadIsBounded(t *testing.T) {
	none := dispatch.LoadReport{}
	for value, want := range map[string]dispatch.LoadReport{
		"3,0,8":            {Running: 3, Slots: 8},
		"3,2,8,250":        {Running: 3, Waiting: 2, Slots: 8, Slowdown: 2.5},
		" 3 , 2 , 8 , 60 ": {Running: 3, Waiting: 2, Slots: 8, Slowdown: 0.6},
		"3,2,8,250,7,x":    {Running: 3, Waiting: 2, Slots: 8, Slowdown: 2.5},
		"3,2,8,":           {Running: 3, Waiting: 2, Slots: 8},
		"3,2,8,-250":       {Running: 3, Waiting: 2, Slots: 8},
		"3,2,8,NaN":        {Running: 3, Waiting: 2, Slots: 8},
		"3,2,8,0":          {Running: 3, Waiting: 2, Slots: 8},
		"3,2,8,100000":     {Running: 3, Waiting: 2, Slots: 8, Slowdown: 40},
		"99999999999999999999,1,99999999999999999999,99999999999999999999": {Running: 10_000, Waiting: 1, Slots: 10_000, Slowdown: 40},
		"": none, ",": none, ",,,": none, "3": none, "3,2": none, "3,2,": none, "3,,8,250": none,
		"-1,2,8,250": none, "3,-2,8,250": none, "3,2,x,250": none, "3.5,2,8": none, "0x3,2,8": none, "3;2;8;250": none,
	} {
		NewWithT(t).Expect(parseLoad(value)).To(Equal(want), value)
	}
}
