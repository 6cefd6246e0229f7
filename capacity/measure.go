package capacity

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/experiment"
	"github.com/aspenswitch/aspenswitch/fairness"
	"github.com/aspenswitch/aspenswitch/membership"
	"github.com/aspenswitch/aspenswitch/overhead"
	"github.com/aspenswitch/aspenswitch/sched"
)

// Report is a run of all measurements.
type Report struct {
	GoVersion string   `json:"goVersion"`
	Cores     int      `json:"cores"`
	Series    []Series `json:"series"`
}

// load is the Midlands load with the sizes changed; slots and teams' demand grow
// with the routers, so that the rate of each router stays.
func load(routers, teams int, meanCost float64, backlogged bool) experiment.Load {
	l := experiment.Midlands(1, 20*time.Second)
	l.Routers, l.Phase, l.MeanCost = routers, 0, meanCost
	l.Upstreams = 24 * routers / 7
	l.Teams = nil
	for i := range teams {
		t := experiment.Team{Share: 1, Demand: 0.5, Router: i % routers}
		switch {
		case i%10 == 0 && backlogged:
			t.Demand = 4
		case i%10 == 0:
			t.Demand = 1
		}
		l.Teams = append(l.Teams, t)
	}
	for i := range min(3, teams) {
		l.Teams[i] = experiment.Team{Share: max(4, float64(teams)/8), Demand: 1.4, Router: -1}
	}
	return l
}

// outcomes runs the fleet under each load and returns two series of it.
func outcomes(name, xName string, xs []float64, of func(x float64) experiment.Load) []Series {
	bytes := Series{Name: name + ", bytes", XName: xName, YName: "control bytes a second sent by a node"}
	cpu := Series{Name: name + ", processor", XName: xName, YName: "part of a core for a node's control"}
	for _, x := range xs {
		o := experiment.Run(of(x), experiment.Fleet(nil))
		bytes.Points = append(bytes.Points, Point{x, o.ControlBytes})
		cpu.Points = append(cpu.Points, Point{x, o.ControlCPU})
	}
	return []Series{bytes, cpu}
}

// Measure runs everything.
func Measure() Report {
	r := Report{GoVersion: runtime.Version(), Cores: runtime.NumCPU()}
	r.Series = append(r.Series, outcomes("routers in one mesh", "routers", []float64{3, 5, 7, 11, 16},
		func(x float64) experiment.Load { return load(int(x), 16, 1.3, true) })...)
	r.Series = append(r.Series, outcomes("teams, a tenth backlogged", "teams", []float64{20, 80, 320, 1280},
		func(x float64) experiment.Load { return load(7, int(x), 1.3, true) })...)
	r.Series = append(r.Series, outcomes("request rate", "requests a second a node", []float64{10, 20, 40, 80},
		func(x float64) experiment.Load { return load(7, 16, 192/(7*x), true) })...)
	r.Series = append(r.Series, outcomes("backlogged teams of 160", "backlogged teams", []float64{4, 16, 64, 156},
		func(x float64) experiment.Load { return backlogged(int(x)) })...)
	r.Series = append(r.Series, outcomes("upstreams, the same slots", "upstreams", []float64{12, 24, 48, 96},
		func(x float64) experiment.Load {
			l := load(7, 16, 1.3, true)
			l.Upstreams, l.SlotsPerUpstream = int(x), 192/int(x)
			return l
		})...)
	r.Series = append(r.Series, gapByReports())
	r.Series = append(r.Series, tokenSeries())
	r.Series = append(r.Series, changeSeries())
	r.Series = append(r.Series, bundleSeries()...)
	r.Series = append(r.Series, memorySeries()...)
	r.Series = append(r.Series, entryBytes())
	for i := range r.Series {
		r.Series[i].fit()
	}
	return r
}

// gapByReports is how the fairness gap grows as reports come less often: what a
// sparser exchange at a larger size would cost.
func gapByReports() Series {
	s := Series{Name: "gap by report interval", XName: "seconds between reports", YName: "mean largest gap, slot seconds a share"}
	for _, x := range []float64{0.2, 0.5, 1, 2, 4} {
		o := experiment.RunSeeds(func(seed uint64) experiment.Load { return experiment.Midlands(seed, 60*time.Second) }, 3,
			experiment.Fleet(func(c *sched.Config) { c.ReportEvery = time.Duration(x * float64(time.Second)) }))
		s.Points = append(s.Points, Point{x, o.MeanGap})
	}
	return s
}

// bundleOf is a bundle of the size, with two keys a team.
func bundleOf(teams, upstreams int) ([]byte, *bundle.Signed) {
	b := bundle.Bundle{Version: 1, Pools: []bundle.Pool{{ID: 1, Name: "p", Models: []string{"m"}}}}
	for i := range teams {
		b.Teams = append(b.Teams, bundle.Team{
			ID: i + 1, Name: fmt.Sprintf("team-%d", i), Share: 1,
			Keys: []string{bundle.HashKey(fmt.Sprint("a", i)), bundle.HashKey(fmt.Sprint("b", i))},
		})
	}
	for i := range upstreams {
		b.Upstreams = append(b.Upstreams, bundle.Upstream{
			ID: i + 1, Name: fmt.Sprintf("runner-%d", i), Kind: bundle.Engine, Pool: "p",
			Address: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250), FailureDomain: "a", Slots: 8,
		})
	}
	text, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return text, &bundle.Signed{Bundle: string(text)}
}

func bundleSeries() []Series {
	size := Series{Name: "bundle, size", XName: "teams (950 runners beside them)", YName: "kilobytes of text"}
	took := Series{Name: "bundle, processor", XName: "teams (950 runners beside them)", YName: "milliseconds to verify, parse and check"}
	operators, sign := twoOperators()
	for _, x := range []float64{500, 2000, 4350, 8700} {
		text, signed := bundleOf(int(x), 950)
		sign(signed)
		began := time.Now()
		_, err := signed.Open(operators)
		elapsed := time.Since(began)
		if err != nil && len(text) <= 1<<20 {
			panic(err)
		}
		size.Points = append(size.Points, Point{x, float64(len(text)) / 1024})
		took.Points = append(took.Points, Point{x, float64(elapsed.Microseconds()) / 1000})
	}
	return []Series{size, took}
}

func twoOperators() ([]bundle.Operator, func(*bundle.Signed)) {
	var operators []bundle.Operator
	var keys []ed25519.PrivateKey
	for _, name := range []string{"anna", "bert"} {
		public, private, err := ed25519.GenerateKey(nil)
		if err != nil {
			panic(err)
		}
		operators = append(operators, bundle.Operator{Name: name, PublicKey: public})
		keys = append(keys, private)
	}
	return operators, func(s *bundle.Signed) {
		for i, o := range operators {
			s.Sign(o.Name, keys[i])
		}
	}
}

// heap is the live heap after a collection, in megabytes.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// memorySeries is the heap of one node's core: by teams alone, and by peers that
// each report 100 teams.
func memorySeries() []Series {
	teams := Series{Name: "core memory by teams", XName: "teams", YName: "megabytes of heap"}
	for _, x := range []float64{1000, 2000, 4350, 8700} {
		teams.Points = append(teams.Points, Point{x, nodeHeap(int(x), 0, 950)})
	}
	peers := Series{Name: "core memory by peers", XName: "peers that report 100 teams each", YName: "megabytes of heap"}
	for _, x := range []float64{10, 50, 150, 330} {
		peers.Points = append(peers.Points, Point{x, nodeHeap(1000, int(x), 950)})
	}
	upstreams := Series{Name: "core memory by upstreams", XName: "upstreams", YName: "megabytes of heap"}
	for _, x := range []float64{100, 300, 600, 950} {
		upstreams.Points = append(upstreams.Points, Point{x, nodeHeap(1000, 0, int(x))})
	}
	waiting := Series{Name: "core memory by waiting requests", XName: "waiting requests of 870 teams", YName: "megabytes of heap"}
	for _, x := range []float64{1000, 5000, 20000, 50000} {
		waiting.Points = append(waiting.Points, Point{x, queueHeap(int(x))})
	}
	return []Series{teams, peers, upstreams, waiting}
}

// queueHeap is the heap of a core whose queue holds so many requests.
func queueHeap(requests int) float64 {
	before := heap()
	now := time.Unix(1_700_000_000, 0)
	cfg := sched.DefaultConfig("vm0", 1)
	cfg.QueuePerTeam = requests
	n := sched.NewNode(now, cfg)
	n.Configure(now, settingsOf(870, 1))
	for i := range requests {
		n.Arrive(now, sched.Request{ID: sched.RequestID(i + 1), Team: fairness.TeamID(i%870 + 1), Pool: 1})
	}
	n.Actions()
	after := heap()
	runtime.KeepAlive(n)
	return max(after-before, 0)
}

// backlogged is a load of 160 teams of which some want more than they are owed.
func backlogged(n int) experiment.Load {
	l := load(7, 160, 1.3, false)
	for i := range l.Teams {
		l.Teams[i] = experiment.Team{Share: 1, Demand: 0.5, Router: i % 7}
		if i < n {
			l.Teams[i].Demand = 2
		}
	}
	return l
}

// tokenSeries is the processor time that a router adds to a stream, callers and
// engine taken off, by its length.
func tokenSeries() Series {
	s := Series{Name: "a stream through a router", XName: "tokens", YName: "microseconds of processor added"}
	for _, x := range []float64{16, 64, 128, 256} {
		r, err := overhead.Measure(overhead.Config{Streams: 3000, Callers: 4, Tokens: int(x)})
		if err != nil {
			panic(err)
		}
		s.Points = append(s.Points, Point{x, float64(r.CPUPerStream.Nanoseconds()) / 1000})
	}
	return s
}

// changeSeries is the processor time in which a core takes in a new bundle, by
// its teams: what each change of configuration costs beside its parsing.
func changeSeries() Series {
	s := Series{Name: "a change of configuration in the core", XName: "teams (950 upstreams)", YName: "milliseconds"}
	now := time.Unix(1_700_000_000, 0)
	for _, x := range []float64{1000, 2000, 4350, 8700} {
		n := sched.NewNode(now, sched.DefaultConfig("vm0", 1))
		settings := settingsOf(int(x), 950)
		n.Configure(now, settings)
		const times = 20
		began := time.Now()
		for range times {
			n.Configure(now, settings)
		}
		s.Points = append(s.Points, Point{x, float64(time.Since(began).Microseconds()) / 1000 / times})
	}
	return s
}

func settingsOf(teams, upstreams int) sched.Settings {
	s := sched.Settings{Pools: []int{1}}
	for i := range teams {
		s.Teams = append(s.Teams, sched.TeamShare{Team: fairness.TeamID(i + 1), Share: 1})
	}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, sched.Upstream{ID: i + 1, Pool: 1, Slots: 8})
	}
	return s
}

func nodeHeap(teams, peers, upstreams int) float64 {
	before := heap()
	now := time.Unix(1_700_000_000, 0)
	n := sched.NewNode(now, sched.DefaultConfig("vm0", 1))
	var list []membership.Listed
	for i := range peers {
		list = append(list, membership.Listed{Name: fmt.Sprint("vm", i+1)})
	}
	n.SetList(now, list)
	n.Configure(now, settingsOf(teams, upstreams))
	for i := range peers {
		sync := sched.Sync{From: fmt.Sprint("vm", i+1), Incarnation: 1, Seq: 1}
		part := sched.PoolSync{Pool: 1}
		for t := range 100 {
			part.Entries = append(part.Entries, fairness.Entry{
				Team: fairness.TeamID((i*100+t)%teams + 1), Tally: fairness.Tally{Service: 1, Running: 1, Waiting: 1},
			})
		}
		sync.Pools = []sched.PoolSync{part}
		n.Receive(now, sync)
		n.Actions()
	}
	after := heap()
	runtime.KeepAlive(n)
	return max(after-before, 0)
}

// entryBytes is what an entry of a report takes, before compression.
func entryBytes() Series {
	s := Series{Name: "report size", XName: "entries", YName: "bytes of one message before compression"}
	for _, x := range []float64{1, 5, 25, 100} {
		sync := sched.Sync{From: "vm123", Incarnation: 1_700_000_000 << 20, To: 1_700_000_001 << 20, Seq: 123456, Ack: 123455, Live: 4_000_000_000}
		part := sched.PoolSync{Pool: 7}
		for i := range int(x) {
			part.Entries = append(part.Entries, fairness.Entry{
				Team: fairness.TeamID(4000 + 37*i), Tally: fairness.Tally{Service: 12345.67 + float64(i), Running: 12, Waiting: 8},
			})
		}
		sync.Pools = []sched.PoolSync{part}
		raw, err := json.Marshal(sync)
		if err != nil {
			panic(err)
		}
		s.Points = append(s.Points, Point{x, float64(len(raw))})
	}
	return s
}
