package ctl_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/aspenswitch/aspenswitch/ctl"
)

const teamLog = `{"process":"r1","event":"team","team":"farms","asked":900,"sent":100,"begun":90,"begun_tokens":400000,"over_share":30,"no_room":0,"shed":770,"busy":0,"full":0,"time":1001020,"message":"a team's requests"}
{"process":"r2","event":"team","team":"farms","asked":10,"sent":10,"begun":10,"begun_tokens":50000,"over_share":0,"no_room":1,"shed":0,"busy":0,"full":0,"time":1001040,"message":"a team's requests"}
{"process":"h1","event":"share","team":"farms","served_tokens":1000,"elsewhere_tokens":2000,"share_tokens":2500,"time":1001100,"message":"a team's account"}
{"process":"h2","event":"share","team":"farms","served_tokens":1500,"elsewhere_tokens":1600,"share_tokens":2600,"time":1001200,"message":"a team's account"}
{"process":"r1","event":"team","team":"farms","asked":800,"sent":0,"begun":0,"begun_tokens":0,"over_share":0,"no_room":0,"shed":100,"busy":700,"full":0,"time":1002030,"message":"a team's requests"}
{"process":"h1","event":"share","team":"farms","served_tokens":100,"elsewhere_tokens":200,"share_tokens":2500,"time":1002100,"message":"a team's account"}
{"process":"r1","event":"team","team":"other","asked":5,"time":1002030,"message":"a team's requests"}
`

func TestExplainTeamReportsWhoRefusedAndWhy(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(ctl.ExplainTeam(&out, "farms", ctl.TimeRange{}, strings.NewReader(teamLog))).To(Succeed())
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(rows).To(HaveLen(4))
	g.Expect(strings.Fields(rows[1])[1:7]).To(Equal([]string{"910", "110", "100", "450000", "3100", "2600"}))
	g.Expect(rows[1]).To(And(ContainSubstring("770 router: share used up, per the home's last report"), HaveSuffix("r1")))
	g.Expect(rows[2]).To(ContainSubstring("700 router: processing delayed"))
	g.Expect(rows[3]).To(And(ContainSubstring("farms: 1710 asked, 110 sent"), ContainSubstring("in 1 of 2 seconds a router refused requests on its own while the team was below its share")))
}

func TestExplainTeamFiltersByTimeRange(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	timeRange := ctl.TimeRange{From: time.UnixMilli(1001500), To: time.UnixMilli(1003000)}
	g.Expect(ctl.ExplainTeam(&out, "farms", timeRange, strings.NewReader(teamLog))).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("800 asked"))
	g.Expect(ctl.ExplainTeam(&out, "nobody", ctl.TimeRange{}, strings.NewReader(teamLog))).To(MatchError(ContainSubstring("no line about team nobody")))
}

// Guards against an explanation that doesn't name the router of a team's callers as overloaded,
// although it has turned away connections of which no team is known.
func TestExplainTeamNamesRoutersThatLeaveTheLoadBalancer(t *testing.T) {
	g := NewWithT(t)
	const entryLines = `{"process":"r1","event":"entry","turned_away":540,"opened":60,"time":1001500,"message":"router leaves the load balancer"}
{"process":"r9","event":"entry","turned_away":100,"opened":10,"time":1001600,"message":"router leaves the load balancer"}
`
	var out bytes.Buffer
	g.Expect(ctl.ExplainTeam(&out, "farms", ctl.TimeRange{}, strings.NewReader(teamLog+entryLines))).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`r1 \[entry\] router leaves the load balancer.*turned_away=540`))
	g.Expect(out.String()).NotTo(ContainSubstring("r9"))
}
