package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/platform"
	"github.com/aspenswitch/aspenswitch/registry"
	"github.com/aspenswitch/aspenswitch/standin"
)

// place is an address at which one upstream after the other runs. The address is
// that of a link, which stays.
type place struct {
	number int
	op     *operator
	rec    *Recorder
	link   *Link

	mu      sync.Mutex
	runner  *standin.Runner
	entry   registry.Upstream
	started int
	// busy is set while one incarnation gives way to the next.
	busy bool
}

// greyEvery makes a grey upstream misbehave at one request in three.
const greyEvery = 3

// greyFaults are the forms of misbehaviour.
var greyFaults = []standin.RunnerFault{
	standin.RunnerFailing, standin.RunnerLosing, standin.RunnerExtra, standin.RunnerLate, standin.RunnerGarbled,
	standin.RunnerCut, standin.RunnerUnframed, standin.RunnerMute, standin.RunnerUnsealed, standin.RunnerFull,
}

func newPlace(number int, service string, op *operator, rec *Recorder) (*place, error) {
	p := &place{number: number, op: op, rec: rec}
	runner, err := p.runnerOf(service)
	if err != nil {
		return nil, err
	}
	if p.link, err = NewLink("127.0.0.1", runner.Address()); err != nil {
		return nil, err
	}
	return p, p.open(runner, service)
}

// runnerOf starts the next incarnation.
func (p *place) runnerOf(service string) (*standin.Runner, error) {
	p.started++
	id, n := p.id(), platform.HTTPHeaders()
	names := standin.RunnerNames{RequestID: n.RequestID, Instance: n.Upstream, Seal: n.Seal, NotRun: n.NotRun, Leaving: n.Leaving}
	r, err := standin.NewRunner(id, names, standin.RunnerOptions{
		Work: work, FaultEvery: greyEvery,
		Began:    func(request string) func(bool) { return p.rec.Began(request, id, service) },
		Crashes:  func(r *http.Request) bool { return p.crashIfMarked(id, r) },
		Rejected: func(request string, rest time.Duration) { p.recordRejection(id, request, rest) },
	})
	return r, Error.Wrap(err)
}

// id is that of the incarnation that was started last.
func (p *place) id() string { return fmt.Sprintf("u%d-%d", p.number, p.started) }

// work is what a request takes; streams are told by their path.
func work(r *http.Request) standin.Work {
	w := standin.Work{Takes: workTakes}
	if strings.HasPrefix(r.URL.Path, prefixes[ResumableStream]) || strings.HasPrefix(r.URL.Path, prefixes[AtMostOnceStream]) {
		w.Events, w.Gap = streamEvents, streamGap
	}
	return w
}

// open registers an incarnation.
func (p *place) open(r *standin.Runner, service string) error {
	p.runner = r
	p.entry = registry.Upstream{ID: p.id(), Service: service, Address: p.link.Address(), FailureDomain: domainOf(p.number), Slots: 32}
	return p.op.register(p.entry)
}

const (
	// drainWork is how long an upstream serves on after its leave is published.
	drainWork = 3 * time.Second
	// addressRest is how long an address stays unused after an incarnation.
	addressRest = 2 * time.Second
)

// leave plays a planned leave; after rest another incarnation begins.
func (p *place) leave(rest time.Duration) error {
	if !p.begin() {
		return nil
	}
	p.mu.Lock()
	p.entry.Draining = true
	p.runner.SetLeaving(true)
	err := p.op.register(p.entry)
	id, runner := p.entry.ID, p.runner
	p.mu.Unlock()
	p.rec.Add(func(h *History) { h.Departures = append(h.Departures, Change{Name: id, At: p.rec.Now()}) })
	time.Sleep(drainWork)
	p.op.deregister(id)
	runner.Crash()
	return firstOf(err, p.next(rest))
}

// crash ends the upstream at once; its entry lapses after rest.
func (p *place) crash(rest time.Duration) error {
	if !p.begin() {
		return nil
	}
	p.mu.Lock()
	id, runner := p.entry.ID, p.runner
	p.mu.Unlock()
	runner.Crash()
	time.Sleep(rest)
	p.op.deregister(id)
	p.rec.Add(func(h *History) { h.Departures = append(h.Departures, Change{Name: id, At: p.rec.Now()}) })
	return p.next(0)
}

// begin reports whether no incarnation is giving way already.
func (p *place) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return false
	}
	p.busy = true
	return true
}

// restart starts another incarnation of the same service without waiting.
func (p *place) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, err := p.runnerOf(p.entry.Service)
	if err != nil {
		return // no free port: the place stays without an upstream
	}
	p.link.Retarget(r.Address())
	p.busy = false
	_ = p.open(r, p.entry.Service) // encoding an entry can't fail
}

// next starts another incarnation, of the other service at every second place,
// so that an address comes to belong to another service.
func (p *place) next(rest time.Duration) error {
	time.Sleep(addressRest + rest)
	p.mu.Lock()
	defer p.mu.Unlock()
	service := p.entry.Service
	if p.number%2 == 1 && service == services[0] {
		service = services[1]
	} else if p.number%2 == 1 {
		service = services[0]
	}
	r, err := p.runnerOf(service)
	if err != nil {
		return err
	}
	p.link.Retarget(r.Address())
	p.busy = false
	return p.open(r, service)
}

// grey makes the upstream misbehave for a while.
func (p *place) grey(variant int, lasts time.Duration) {
	p.mu.Lock()
	r := p.runner
	p.mu.Unlock()
	r.SetFault(greyFaults[variant%len(greyFaults)])
	time.Sleep(lasts)
	r.SetFault(standin.RunnerWell)
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
