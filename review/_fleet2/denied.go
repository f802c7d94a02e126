package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["denied"] = playDenied }

// playDenied has callers ask for the same page and for others, while all targets of the service crash one shortly after the other and come back. It checks DENIED.
func playDenied(f *fleet, trouble bool) (verdict, error) {
	log := newRunLog()
	var targets []*target
	for i := range 7 {
		p := places[i%len(places)]
		t := &target{fleet: f, service: "disponent", datacentre: p.datacentre, name: fmt.Sprintf("disponent-%d", i+1), slots: 3, work: 250 * time.Millisecond, log: log}
		if err := t.start(false); err != nil {
			return held, err
		}
		targets = append(targets, t)
	}
	f.configure([]map[string]any{singleRoute("/lade/", "disponent", "idempotent")}, service{name: "disponent", conns: 110})
	if err := f.startAll(); err != nil {
		return held, err
	}
	time.Sleep(7 * time.Second)
	c := newCaller(f)
	var mu sync.Mutex
	var all []outcome
	n := 0
	send := func() {
		mu.Lock()
		n++
		path := "/lade/7"
		if n%6 == 0 {
			path = fmt.Sprintf("/lade/%d", 1000+n)
		}
		mu.Unlock()
		o := c.send(c.anyHost(), http.MethodGet, path, "", 2500*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		all = append(all, o)
	}
	go func() {
		time.Sleep(8 * time.Second)
		f.say("trouble begins: %v", trouble)
		if !trouble {
			return
		}
		for _, t := range targets {
			t.crash()
			time.Sleep(35 * time.Millisecond)
		}
		time.Sleep(3500 * time.Millisecond)
		for _, t := range targets {
			t.start(false)
		}
		f.say("all targets are back")
	}()
	every(22, time.Now().Add(40*time.Second), send)
	denied, popular, served := 0, 0, 0
	for _, o := range all {
		if o.path == "/lade/7" {
			popular++
		}
		switch {
		case o.status == http.StatusTooManyRequests || o.status == http.StatusRequestTimeout || o.status == http.StatusMisdirectedRequest:
		case o.status >= 300 && o.status < 500 && o.stamp == "":
			denied++
		case o.status == http.StatusOK:
			served++
		}
	}
	allowed := 5 + len(all)/500
	f.say("%d requests, %d of them for the popular page; %d served; %d ended by a host with a 3xx or 4xx, %d are allowed", len(all), popular, served, denied, allowed)
	if denied > allowed {
		return broken, nil
	}
	return held, nil
}
