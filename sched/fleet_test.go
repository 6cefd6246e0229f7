package sched_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/aspenswitch/aspenswitch/fairness"
	"github.com/aspenswitch/aspenswitch/limits"
	"github.com/aspenswitch/aspenswitch/membership"
	"github.com/aspenswitch/aspenswitch/sched"
)

// Times and sizes of the test fleet.
const (
	tick   = 100 * time.Millisecond
	oneWay = time.Millisecond
	// reportEvery is how often homes read load reports.
	reportEvery = 500 * time.Millisecond
)

// testRequest is a request that waits at a node or runs on an upstream.
type testRequest struct {
	node      int
	upstream  int
	team      fairness.TeamID
	startedAt time.Time
	until     time.Time
}

// packet is a message in transit.
type packet struct {
	from, to  int
	deliverAt time.Time
	raw       []byte
}

// fleet is a few nodes, a network that can be partitioned, and virtual time.
// Requests run until the test ends them or until their cost has elapsed.
type fleet struct {
	t        testing.TB
	now      time.Time
	nodes    []*sched.Node
	up       []bool
	paused   []bool
	starts   int
	settings sched.Settings
	inFlight []packet
	cut      map[[2]int]bool
	perturb  func(packet) []packet
	running  map[sched.RequestID]testRequest
	refused  map[sched.RequestID]sched.Refuse
	redials  map[[2]int]int
	messages int
	lastID   sched.RequestID
	cost     time.Duration
	service  map[fairness.TeamID]time.Duration
	peak     map[int]int
	rng      *rand.Rand
}

func newFleet(t testing.TB, nodes, upstreams, slots int) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1_700_000_000, 0), cut: map[[2]int]bool{},
		running: map[sched.RequestID]testRequest{}, refused: map[sched.RequestID]sched.Refuse{},
		redials: map[[2]int]int{}, service: map[fairness.TeamID]time.Duration{},
		peak: map[int]int{}, rng: rand.New(rand.NewPCG(1, 2)),
	}
	f.settings = sched.Settings{Pools: []int{1}}
	for team := 1; team <= 4; team++ {
		f.settings.Teams = append(f.settings.Teams, sched.TeamShare{Team: fairness.TeamID(team), Share: 1})
	}
	for u := 1; u <= upstreams; u++ {
		f.settings.Upstreams = append(f.settings.Upstreams, sched.Upstream{ID: u, Pool: 1, Slots: slots})
	}
	f.nodes = make([]*sched.Node, nodes)
	f.up = make([]bool, nodes)
	f.paused = make([]bool, nodes)
	for i := range nodes {
		f.start(i)
	}
	return f
}

func name(i int) string { return fmt.Sprintf("vm%d", i+1) }

// start starts a process without state.
func (f *fleet) start(i int) {
	f.starts++
	cfg := sched.DefaultConfig(name(i), uint64(f.starts))
	cfg.QueuePerTeam = 100
	f.nodes[i] = sched.NewNode(f.now, cfg)
	f.up[i] = true
	var list []membership.ListedVM
	for n := range f.nodes {
		list = append(list, membership.ListedVM{Name: name(n)})
	}
	f.nodes[i].SetList(f.now, list)
	f.nodes[i].Configure(f.now, f.settings)
	f.perform(i)
}

// kill ends a process and its requests.
func (f *fleet) kill(i int) {
	f.up[i] = false
	for id, s := range f.running {
		if s.node == i {
			delete(f.running, id)
		}
	}
	f.inFlight = slices.DeleteFunc(f.inFlight, func(p packet) bool { return p.from == i || p.to == i })
}

// setPartitioned cuts or restores the links between two groups of nodes.
func (f *fleet) setPartitioned(a, b []int, cut bool) {
	for _, x := range a {
		for _, y := range b {
			f.cut[[2]int{x, y}] = cut
			f.cut[[2]int{y, x}] = cut
		}
	}
}

func (f *fleet) perform(i int) {
	for _, a := range f.nodes[i].Actions() {
		switch a := a.(type) {
		case sched.Dispatch:
			f.dispatch(i, a)
		case sched.Refuse:
			f.refused[a.Request] = a
		case sched.Redial:
			f.redials[[2]int{i, f.index(a.To)}]++
		case sched.Send:
			f.send(i, a)
		}
	}
}

func (f *fleet) index(router string) int {
	return slices.IndexFunc(f.nodes, func(*sched.Node) bool { return false }) + 1 + int(router[2]-'1')
}

func (f *fleet) dispatch(i int, d sched.Dispatch) {
	s := f.running[d.Request]
	s.node, s.upstream, s.startedAt, s.until = i, d.Upstream, f.now, d.LeaseExpiry
	f.running[d.Request] = s
	f.peak[d.Upstream] = max(f.peak[d.Upstream], f.busy(d.Upstream))
}

func (f *fleet) send(i int, a sched.Send) {
	f.messages++
	raw, err := json.Marshal(a.Sync)
	if err != nil {
		f.t.Fatal(err)
	}
	p := packet{from: i, to: f.index(a.To), deliverAt: f.now.Add(oneWay), raw: raw}
	if f.cut[[2]int{p.from, p.to}] {
		return
	}
	if f.perturb == nil {
		f.inFlight = append(f.inFlight, p)
		return
	}
	f.inFlight = append(f.inFlight, f.perturb(p)...)
}

// arrive submits a request of a team to a node.
func (f *fleet) arrive(i int, team fairness.TeamID) sched.RequestID {
	f.lastID++
	id := f.lastID
	f.running[id] = testRequest{team: team, node: -1}
	f.nodes[i].Submit(f.now, sched.Request{ID: id, Team: team, Pool: 1})
	f.perform(i)
	if _, refused := f.refused[id]; refused {
		delete(f.running, id)
	}
	return id
}

// finish ends a request.
func (f *fleet) finish(id sched.RequestID) {
	s := f.running[id]
	delete(f.running, id)
	f.service[s.team] += f.now.Sub(s.startedAt)
	if f.up[s.node] {
		f.nodes[s.node].Finish(f.now, id)
		f.perform(s.node)
	}
}

// run advances time in steps of a millisecond.
func (f *fleet) run(d time.Duration) { f.runWith(d, func() {}) }

// runWith advances time and calls each after every step.
func (f *fleet) runWith(d time.Duration, each func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Millisecond)
		f.deliver()
		f.endRequests()
		if f.now.Sub(time.Unix(1_700_000_000, 0))%tick == 0 {
			f.tickAll()
		}
		if f.now.Sub(time.Unix(1_700_000_000, 0))%reportEvery == 0 {
			f.reportLoads()
		}
		each()
	}
}

func (f *fleet) deliver() {
	var later []packet
	packets := f.inFlight
	f.inFlight = nil
	for _, p := range packets {
		if p.deliverAt.After(f.now) || f.paused[p.to] {
			later = append(later, p)
			continue
		}
		if !f.up[p.to] || f.cut[[2]int{p.from, p.to}] {
			continue
		}
		var s sched.Sync
		if err := json.Unmarshal(p.raw, &s); err != nil {
			f.t.Fatal(err)
		}
		f.nodes[p.to].Receive(f.now, s)
		f.perform(p.to)
	}
	f.inFlight = append(later, f.inFlight...)
}

// endRequests ends the requests that have run for the fleet's cost, in the order
// of their IDs.
func (f *fleet) endRequests() {
	if f.cost == 0 {
		return
	}
	var done []sched.RequestID
	for id, s := range f.running {
		if !s.startedAt.IsZero() && f.now.Sub(s.startedAt) >= f.cost && !f.paused[s.node] {
			done = append(done, id)
		}
	}
	slices.Sort(done)
	for _, id := range done {
		f.finish(id)
	}
}

func (f *fleet) tickAll() {
	for i, n := range f.nodes {
		if f.up[i] && !f.paused[i] {
			n.Tick(f.now)
			f.perform(i)
		}
	}
}

// reportLoads passes the load of each upstream to its home.
func (f *fleet) reportLoads() {
	for i, n := range f.nodes {
		if !f.up[i] || f.paused[i] {
			continue
		}
		for _, u := range n.HomedUpstreams() {
			n.ObserveLoad(f.now, u.Pool, u.ID, limits.Load{Running: min(f.busy(u.ID), u.Slots), Queued: max(f.busy(u.ID)-u.Slots, 0)})
			f.perform(i)
		}
	}
}

// busy returns the number of requests on an upstream; 0 is for all upstreams.
func (f *fleet) busy(upstream int) int {
	n := 0
	for _, s := range f.running {
		if !s.startedAt.IsZero() && (upstream == 0 || s.upstream == upstream) {
			n++
		}
	}
	return n
}

// backlog fills the queue of each team at a node.
func (f *fleet) backlog(i int, teams ...fairness.TeamID) {
	for _, team := range teams {
		for f.nodes[i].Waiting(1, team) < 8 {
			f.arrive(i, team)
		}
	}
}

// slots returns the number of slots of all upstreams.
func (f *fleet) slots() int {
	n := 0
	for _, u := range f.settings.Upstreams {
		n += u.Slots
	}
	return n
}

// converge runs a new fleet until its routers have found each other.
func (f *fleet) converge() { f.run(6 * time.Second) }
