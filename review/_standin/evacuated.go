package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kingcupcross/mock"
)

const (
	evacuationBound = 5 * time.Second
	// usualPause and quietPause are the times between two requests to a host: 13 a second, as in the small deployment, and 0.08 of that.
	usualPause = 77 * time.Millisecond
	quietPause = 960 * time.Millisecond
	evacuated  = "aral-aralsk"
)

// startTargets starts targets of a service, one in each of the given data centres, and registers them.
func (f *fleet) startTargets(log *mock.RequestLog, service string, datacentres ...string) ([]*mock.Target, error) {
	var all []*mock.Target
	for i, d := range datacentres {
		t, err := mock.NewTarget(fmt.Sprintf("i-%s-%d", service, i), service, log, 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		all = append(all, t)
		f.register(t.ID, service, t.Proxy.Address.String(), d, "ready", 1, time.Now().Add(-time.Hour))
	}
	return all, nil
}

// playEvacuatedTwice evacuates a data centre twice while the traffic falls and rises, and counts the requests that its targets get too late. Hosts of the third region answer the requests of a route that is served in the region of the evacuated data centre only themselves, also while they have little traffic.
func playEvacuatedTwice(f *fleet) ([]string, error) {
	log := mock.NewRequestLog()
	datacentres := []string{"caspian-aktau", evacuated, "ili-bakanas", "caspian-aktau", evacuated, "ili-bakanas"}
	targets, err := f.startTargets(log, "card", datacentres...)
	if err != nil {
		return nil, err
	}
	for _, t := range targets {
		defer t.Close()
	}
	abroad := route("abroad", "idempotent", "card")
	abroad["allowedRegions"] = []string{"aral"}
	f.configure(3, []string{"card"}, route("card", "idempotent", "card"), abroad)
	if err := f.startAll(); err != nil {
		return nil, err
	}
	var pause atomic.Int64
	setTraffic := func(d time.Duration) {
		if !trouble() {
			d = usualPause
		}
		pause.Store(int64(d))
		f.record.add("one request to each host every %s", d)
	}
	setTraffic(quietPause)
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i, h := range f.hosts {
		clients.Go(func() {
			c := newClient(true)
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(pause.Load())):
				}
				id, path := fmt.Sprintf("c%d-%d", i, n), "/card/2f"
				if h.datacentre == "ili-bakanas" && n%2 == 0 {
					path = "/abroad/2f"
				}
				a, err := c.send(h.callers, http.MethodGet, path, id, nil, 3*time.Second)
				switch {
				case err != nil:
					f.record.add("%s %s at %s: %v", id, path, h.name, err)
				default:
					f.record.add("%s %s at %s: %d %s", id, path, h.name, a.status, a.header.Get("X-Server-Stamp"))
				}
			}
		})
	}
	evacuate := func(on bool) {
		if on {
			f.store.Put("op/evacuate/"+evacuated, map[string]any{})
			f.record.add("store acknowledges the evacuation of %s", evacuated)
		} else {
			f.store.Delete("op/evacuate/" + evacuated)
			f.record.add("the evacuation of %s is taken back", evacuated)
		}
	}
	time.Sleep(8 * time.Second)
	evacuate(true)
	time.Sleep(4 * time.Second)
	setTraffic(usualPause)
	time.Sleep(6 * time.Second)
	evacuate(false)
	time.Sleep(3 * time.Second)
	setTraffic(quietPause)
	time.Sleep(12 * time.Second)
	evacuate(true)
	bound := time.Now().Add(evacuationBound)
	time.Sleep(20 * time.Second)
	setTraffic(usualPause)
	time.Sleep(5 * time.Second)
	takenBack := time.Now()
	evacuate(false)
	close(done)
	clients.Wait()
	var breaks []string
	for i, t := range targets {
		n := log.ArrivalsBetween(t.ID, bound, takenBack)
		f.record.add("%s in %s got %d requests between the bound of the second evacuation and its end", t.ID, datacentres[i], n)
		if n > 0 && datacentres[i] == evacuated {
			breaks = append(breaks, fmt.Sprintf("EVAC: %s got %d requests more than %s after the evacuation of %s was acknowledged", t.ID, n, evacuationBound, evacuated))
		}
	}
	return breaks, nil
}
