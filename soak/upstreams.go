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

// endpoint is an address at which successive incarnations of upstreams run. The address is
// that of the link and doesn't change.
type endpoint struct {
	number int
	op     *operator
	rec    *Recorder
	link   *Link

	mu          sync.Mutex
	runner      *standin.Runner
	entry       registry.Upstream
	incarnation int
	// software is the number of the software version of the next incarnation.
	software int
	// replacing is set while one incarnation is being replaced by the next.
	replacing bool
}

// greyFaultEvery makes an upstream with a gray failure misbehave for one request in three.
const greyFaultEvery = 3

// greyFaults are the forms of gray failure.
var greyFaults = []standin.RunnerFault{
	standin.RunnerServerError, standin.RunnerDroppedResponse, standin.RunnerDuplicateResponse, standin.RunnerStaleResponse, standin.RunnerMalformedResponse,
	standin.RunnerTruncatedResponse, standin.RunnerNoContentLength, standin.RunnerUnresponsive, standin.RunnerMissingSeal, standin.RunnerFull,
}

func newEndpoint(number int, service string, op *operator, rec *Recorder) (*endpoint, error) {
	e := &endpoint{number: number, op: op, rec: rec}
	runner, err := e.startRunner(service)
	if err != nil {
		return nil, err
	}
	if e.link, err = NewLink("127.0.0.1", runner.Address()); err != nil {
		return nil, err
	}
	return e, e.activate(runner, service)
}

// startRunner starts the next incarnation.
func (e *endpoint) startRunner(service string) (*standin.Runner, error) {
	e.incarnation++
	id, n := e.id(), platform.HTTPHeaders()
	names := standin.RunnerHeaders{RequestID: n.RequestID, Instance: n.Upstream, Seal: n.Seal, NotRun: n.NotRun, Leaving: n.Leaving}
	r, err := standin.NewRunner(id, names, standin.RunnerOptions{
		Work: work, FaultEvery: greyFaultEvery, Version: versionSuffix(e.version()),
		OnStart:     func(request string) func(bool) { return e.rec.Began(request, id, service) },
		ShouldCrash: func(r *http.Request) bool { return e.crashIfMarked(id, r) || e.crashOnPart(id, r) },
		OnReject:    func(request string, rest time.Duration) { e.recordRejection(id, request, rest) },
	})
	return r, Error.Wrap(err)
}

// id returns the ID of the incarnation that was started last.
func (e *endpoint) id() string { return fmt.Sprintf("u%d-%d", e.number, e.incarnation) }

// work returns the work of a request; streams are recognized by their path.
func work(r *http.Request) standin.Work {
	w := standin.Work{ProcessingTime: workDuration}
	if strings.HasPrefix(r.URL.Path, prefixes[ResumableStream]) || strings.HasPrefix(r.URL.Path, prefixes[AtMostOnceStream]) {
		w.Events, w.EventInterval = streamEvents, streamGap
	}
	return w
}

// activate registers an incarnation that was started.
func (e *endpoint) activate(r *standin.Runner, service string) error {
	e.runner = r
	e.entry = registry.Upstream{ID: e.id(), Service: service, Address: e.link.Address(), FailureDomain: domainOf(e.number), Slots: 32, Version: e.version()}
	e.recordServing(true)
	return e.op.register(e.entry)
}

const (
	// drainDuration is how long an upstream continues to serve after its leave is published.
	drainDuration = 3 * time.Second
	// addressCooldown is how long an address stays unused after an incarnation has ended.
	addressCooldown = 2 * time.Second
)

// leave performs a graceful leave; another incarnation starts after addressCooldown plus delay.
func (e *endpoint) leave(delay time.Duration) error {
	if !e.beginReplacement() {
		return nil
	}
	return e.leaveForGood(delay, func() {})
}

// leaveForGood drains and ends the current incarnation and starts the next one, which beforeNext
// prepares. The caller must have marked it as being replaced.
func (e *endpoint) leaveForGood(delay time.Duration, beforeNext func()) error {
	e.mu.Lock()
	e.entry.Draining = true
	e.runner.SetLeaving(true)
	err := e.op.register(e.entry)
	id, runner := e.entry.ID, e.runner
	e.mu.Unlock()
	e.rec.Add(func(h *History) { h.Departures = append(h.Departures, Change{Name: id, At: e.rec.Now()}) })
	e.recordServing(false)
	time.Sleep(drainDuration)
	e.op.deregister(id)
	runner.Crash()
	e.mu.Lock()
	beforeNext()
	e.mu.Unlock()
	return firstError(err, e.startNext(delay))
}

// crash ends the upstream at once; its entry is removed after delay.
func (e *endpoint) crash(delay time.Duration) error {
	if !e.beginReplacement() {
		return nil
	}
	e.mu.Lock()
	id, runner := e.entry.ID, e.runner
	e.mu.Unlock()
	e.recordServing(false)
	runner.Crash()
	time.Sleep(delay)
	e.op.deregister(id)
	e.rec.Add(func(h *History) { h.Departures = append(h.Departures, Change{Name: id, At: e.rec.Now()}) })
	return e.startNext(0)
}

// beginReplacement marks the incarnation as being replaced. It returns false if it already is.
func (e *endpoint) beginReplacement() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replacing {
		return false
	}
	e.replacing = true
	return true
}

// restart starts another incarnation of the same service without waiting.
func (e *endpoint) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, err := e.startRunner(e.entry.Service)
	if err != nil {
		return // no free port: the endpoint stays without an upstream
	}
	e.link.Retarget(r.Address())
	e.replacing = false
	_ = e.activate(r, e.entry.Service) // encoding an entry can't fail
}

// startNext starts another incarnation after addressCooldown plus delay. At endpoints with an
// odd number it belongs to the other service, so that an address changes its service.
func (e *endpoint) startNext(delay time.Duration) error {
	time.Sleep(addressCooldown + delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	service := e.entry.Service
	if e.number%2 == 1 && service == services[0] {
		service = services[1]
	} else if e.number%2 == 1 {
		service = services[0]
	}
	r, err := e.startRunner(service)
	if err != nil {
		return err
	}
	e.link.Retarget(r.Address())
	e.replacing = false
	return e.activate(r, service)
}

// grey makes the upstream misbehave for the given duration.
func (e *endpoint) grey(variant int, duration time.Duration) {
	e.injectFault(greyFaults[variant%len(greyFaults)], duration)
}

// unframedFaults are the forms of UpstreamUnframed.
var unframedFaults = []standin.RunnerFault{standin.RunnerUnframedTruncatedStream, standin.RunnerUnframedTruncatedStream, standin.RunnerUnframedStream}

// unframe makes the upstream send streams that end with their connection for the given duration.
func (e *endpoint) unframe(variant int, duration time.Duration) {
	e.injectFault(unframedFaults[variant%len(unframedFaults)], duration)
}

func (e *endpoint) injectFault(fault standin.RunnerFault, duration time.Duration) {
	e.mu.Lock()
	r := e.runner
	e.mu.Unlock()
	r.SetFault(fault)
	time.Sleep(duration)
	r.SetFault(standin.RunnerHealthy)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
