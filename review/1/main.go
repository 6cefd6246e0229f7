// Command 1 checks the rule LOST while runners hand out wrong bytes. It exits with 1 if the rule was
// broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/review/harness"
)

const (
	memoryMB = 134 // a machine of mmcra-vanroutes
	// garble: 3 in 100 answers of half of the runners.
	garbleEvery  = 33
	garbleFor    = 5 * time.Second
	garbageBytes = 96 << 20
	keptConns    = 12
	work         = 300 * time.Millisecond
	pause        = 10 * time.Millisecond
	deadlineMs   = 1500
	maxLost      = 3
)

func main() {
	lost, err := run()
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case lost > maxLost:
		fmt.Println("LOST broken:", lost, "requests")
		os.Exit(1)
	}
	fmt.Println("LOST held:", lost, "requests")
}

func run() (lost int64, err error) {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := harness.NewRecord("review/1/record.txt")
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, record.Close()) }()
	dir, err := os.MkdirTemp("", "review-1-")
	if err != nil {
		return 0, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	store := harness.NewStore()
	var upstreams []*harness.Upstream
	for i, zone := range []string{"a", "b", "c", "d"} {
		u, err := harness.NewUpstream(fmt.Sprintf("i-%08d", i+1), zone, work, store, record)
		if err != nil {
			return 0, err
		}
		upstreams = append(upstreams, u)
	}
	store.Put("op/config", harness.NewConfig(harness.PlainRoute(0, "unsafe")).Encode())
	routers, err := harness.NewRouters(dir, store, []harness.Spec{
		{Name: "front-a-1", Zone: "a", MemoryMB: memoryMB}, {Name: "front-b-1", Zone: "b", MemoryMB: memoryMB}, {Name: "front-c-1", Zone: "c", MemoryMB: memoryMB},
	})
	if err != nil {
		return 0, err
	}
	for _, r := range routers {
		if err := r.Start(); err != nil {
			return 0, err
		}
		defer r.Kill()
	}
	if !harness.AwaitReady(routers, 15*time.Second) {
		return 0, errors.New("the routers did not become ready")
	}
	record.Add("all routers are ready")
	garbling, sound := upstreams[:len(upstreams)/2], upstreams[len(upstreams)/2:]
	callers := &harness.Callers{Record: record}
	for _, u := range sound {
		callers.Sound = append(callers.Sound, u.ID)
	}
	stop := make(chan struct{})
	var clients, supervision sync.WaitGroup
	for _, r := range routers {
		supervision.Go(func() { harness.Supervise(r, memoryMB, record, stop) })
		for range keptConns {
			clients.Go(func() { callers.KeepConn(r.Front(), 0, deadlineMs, pause, stop) })
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for _, u := range garbling {
			record.Add("upstream %s garbles answers", u.ID)
			u.Garble(garbleEvery, garbageBytes)
		}
	}
	time.Sleep(garbleFor)
	for _, u := range garbling {
		u.Garble(0, 0)
	}
	record.Add("no upstream garbles answers any more")
	time.Sleep(5 * time.Second)
	for _, r := range routers {
		fmt.Println(r.Name, "peak memory", r.PeakMemory(), "MB")
	}
	close(stop)
	clients.Wait()
	supervision.Wait()
	fmt.Println("answered:", callers.Answered.Load(), "lost:", callers.Lost.Load())
	return callers.Lost.Load(), nil
}
