package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["refused"] = playRefused }

// playRefused has callers send requests that may not be repeated, while targets fail a part of them with 503 after they have run. It checks REFUSED.
func playRefused(f *fleet, trouble bool) (verdict, error) {
	log := newRunLog()
	var failing atomic.Bool
	var count atomic.Int64
	fail := func(t *target, w http.ResponseWriter, r *http.Request) bool {
		if !failing.Load() || count.Add(1)%5 >= 2 {
			return false
		}
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Server-Stamp", stamp(t.id, id))
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, "failed while working on %s\n", id)
		return true
	}
	for i, p := range places {
		t := &target{fleet: f, service: "reservation", datacentre: p.datacentre, name: fmt.Sprintf("reservation-%d", i+1), slots: 3, work: 30 * time.Millisecond, log: log, answer: fail}
		if err := t.start(false); err != nil {
			return held, err
		}
	}
	f.configure([]map[string]any{singleRoute("/last/", "reservation", "non_idempotent")}, service{name: "reservation", conns: 110})
	if err := f.startAll(); err != nil {
		return held, err
	}
	time.Sleep(3 * time.Second)
	c := newCaller(f)
	var mu sync.Mutex
	var all []outcome
	send := func() {
		o := c.send(c.anyHost(), http.MethodPost, "/last/17", "load=1", 2500*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		all = append(all, o)
	}
	every(20, time.Now().Add(4*time.Second), send)
	f.say("trouble begins: %v", trouble)
	failing.Store(trouble)
	every(20, time.Now().Add(6500*time.Millisecond), send)
	failing.Store(false)
	every(20, time.Now().Add(2*time.Second), send)
	promised, bad, twice := 0, 0, 0
	for _, o := range all {
		runs := log.runsOf(o.id)
		if len(runs) > 1 {
			twice++
		}
		switch o.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			promised++
			if len(runs) > 0 {
				bad++
				f.printf("REFUSED: %s was answered %d by %s and has run at %v", o.id, o.status, o.host, runs)
			}
		}
	}
	f.say("%d requests, %d answered with a status that promises that they have not run, %d of these have run; %d ran more than once", len(all), promised, bad, twice)
	if bad > 0 || twice > 0 {
		return broken, nil
	}
	return held, nil
}
