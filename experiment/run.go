package experiment

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
	"github.com/aspenswitch/aspenswitch/membership"
	"github.com/aspenswitch/aspenswitch/sched"
)

// requestState is a waiting or running request.
type requestState struct {
	arrival
	node    int
	started time.Duration
}

// run is the state of one design under one load.
type run struct {
	virtualClock
	load        Load
	design      Design
	nodes       []*sched.Node
	index       map[string]int
	requests    map[sched.RequestID]*requestState
	meter       *meter
	traffic     *trafficMeter
	cpu         time.Duration
	lastUsageAt time.Duration
	rng         *rand.Rand
	start       time.Time
}

func teamID(i int) fairness.TeamID { return fairness.TeamID(i + 1) }

func newRun(l Load, d Design) *run {
	r := &run{
		load: l, design: d, meter: newMeter(l),
		requests: map[sched.RequestID]*requestState{},
		rng:      rand.New(rand.NewPCG(l.Seed, 0)),
		start:    time.Unix(1_000_000_000, 0),
		index:    map[string]int{},
	}
	nodes := d.Nodes(l)
	r.traffic = newTrafficMeter(nodes)
	for i := range nodes {
		r.nodes = append(r.nodes, r.newNode(i))
		r.index[nodeName(i)] = i
	}
	return r
}

func (r *run) newNode(i int) *sched.Node {
	cfg := sched.DefaultConfig(nodeName(i), uint64(i)+1)
	cfg.QueuePerTeam = 1 << 20
	cfg.MeanCost = r.load.MeanCost
	if r.design.Tune != nil {
		r.design.Tune(&cfg)
	}
	n := sched.NewNode(r.clock(), cfg)
	if r.design.Connected {
		n.SetList(r.clock(), r.members())
	}
	n.Configure(r.clock(), r.design.settings(r.load, i))
	return n
}

func (r *run) members() []membership.ListedVM {
	var members []membership.ListedVM
	for i := range r.design.Nodes(r.load) {
		members = append(members, membership.ListedVM{Name: nodeName(i)})
	}
	return members
}

func (r *run) clock() time.Time { return r.start.Add(r.now) }

// warmUp is the time for the nodes to discover each other before the load starts.
const warmUp = 5 * time.Second

func (r *run) run() {
	for i := range r.nodes {
		offset := tickInterval * time.Duration(i) / time.Duration(len(r.nodes))
		r.at(offset, func() { r.tick(i) })
	}
	for id, a := range r.load.arrivals() {
		r.at(warmUp+a.at, func() { r.arrive(sched.RequestID(id+1), a) })
	}
	r.runUntil(warmUp)
	r.traffic.reset()
	r.cpu = 0
	r.at(r.now+sampleInterval, r.sample)
	r.runUntil(warmUp + r.load.Duration)
}

func (r *run) sample() {
	r.meter.sample(r.now)
	if r.now%(250*time.Millisecond) == 0 {
		r.meter.recordSeries(r.now)
	}
	r.after(sampleInterval, r.sample)
}

// step runs one event on a node, adds its CPU time and executes the resulting actions.
func (r *run) step(i int, event func(*sched.Node)) {
	r.recordUsage()
	startedAt := time.Now()
	event(r.nodes[i])
	actions := r.nodes[i].Actions()
	r.cpu += time.Since(startedAt)
	for _, a := range actions {
		r.execute(i, a)
	}
}

// recordUsage records the slot usage since the last event.
func (r *run) recordUsage() {
	r.meter.addUsage(r.now - r.lastUsageAt)
	r.lastUsageAt = r.now
}

func (r *run) execute(i int, a sched.Action) {
	switch a := a.(type) {
	case sched.Dispatch:
		r.dispatch(i, a)
	case sched.Refuse:
		delete(r.requests, a.Request)
	case sched.Send:
		r.send(i, a)
	}
}

func (r *run) tick(i int) {
	r.step(i, func(n *sched.Node) { n.Tick(r.clock()) })
	r.after(tickInterval, func() { r.tick(i) })
}

func (r *run) arrive(id sched.RequestID, a arrival) {
	f := &requestState{arrival: a, node: a.router % len(r.nodes)}
	f.at = r.now
	r.requests[id] = f
	r.recordUsage()
	r.meter.arrived(a.team)
	r.step(f.node, func(n *sched.Node) {
		n.Submit(r.clock(), sched.Request{ID: id, Team: teamID(a.team), Pool: 1})
	})
}

func (r *run) dispatch(i int, d sched.Dispatch) {
	f := r.requests[d.Request]
	f.started = r.now
	r.meter.started(r.now, f.team, r.now-f.at)
	r.after(time.Duration(f.cost*float64(time.Second)), func() { r.finish(i, d.Request, f) })
}

func (r *run) finish(i int, id sched.RequestID, f *requestState) {
	r.recordUsage()
	r.meter.ended(f.team, f.started, f.cost)
	delete(r.requests, id)
	r.step(i, func(n *sched.Node) { n.Finish(r.clock(), id) })
}

func (r *run) send(from int, a sched.Send) {
	startedAt := time.Now()
	data, err := json.Marshal(a.Sync)
	if err != nil {
		panic(err)
	}
	r.cpu += time.Since(startedAt)
	to := r.indexOf(a.To)
	r.traffic.count(from, to, data)
	r.after(r.load.OneWay, func() { r.receive(to, data) })
}

func (r *run) receive(to int, data []byte) {
	r.step(to, func(n *sched.Node) {
		var s sched.Sync
		if err := json.Unmarshal(data, &s); err != nil {
			panic(err)
		}
		n.Receive(r.clock(), s)
	})
}

func (r *run) indexOf(name string) int {
	i, ok := r.index[name]
	if !ok {
		panic("experiment: message to unknown node " + name)
	}
	return i
}
