package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

func init() { cases["cold"] = playCold }

// Bounds of cold targets: the rate that the configuration states, and coldOvershoot and coldSlack of the settings.
const (
	coldPerS  = 8.0
	overshoot = 1.5
	coldSlack = 5.0
	coldTime  = 3 * time.Second
)

// coldPeriod is a time in which a target is cold.
type coldPeriod struct {
	target   string
	from, to time.Time
}

// playCold has targets of one service become cold one after the other and say so in their entries. It checks FAILBACK.
func playCold(f *fleet, trouble bool) (verdict, error) {
	log := newRunLog()
	var targets []*target
	for i := range 6 {
		p := places[i%len(places)]
		t := &target{fleet: f, service: "disponent", datacentre: p.datacentre, name: fmt.Sprintf("disponent-%d", i+1), slots: 6, work: 10 * time.Millisecond, log: log}
		if err := t.start(false); err != nil {
			return held, err
		}
		targets = append(targets, t)
	}
	f.configure([]map[string]any{singleRoute("/lade/", "disponent", "idempotent")}, service{name: "disponent", conns: 110, coldPerS: coldPerS})
	if err := f.startAll(); err != nil {
		return held, err
	}
	time.Sleep(5 * time.Second)
	c := newCaller(f)
	var mu sync.Mutex
	sent := map[string]time.Time{}
	statuses := map[int]int{}
	n := 0
	var periods []coldPeriod
	go func() {
		time.Sleep(5 * time.Second)
		f.say("targets become cold: %v", trouble)
		for range 3 {
			for _, t := range targets[:4] {
				if trouble {
					now := time.Now()
					t.becomeCold(coldTime)
					f.printf("%s is cold", t.id)
					mu.Lock()
					periods = append(periods, coldPeriod{target: t.id, from: now, to: now.Add(coldTime)})
					mu.Unlock()
				}
				time.Sleep(350 * time.Millisecond)
			}
			time.Sleep(4 * time.Second)
		}
	}()
	every(112, time.Now().Add(25*time.Second), func() {
		mu.Lock()
		n++
		path := fmt.Sprintf("/lade/%d", n)
		mu.Unlock()
		o := c.send(c.anyHost(), http.MethodGet, path, "", 2500*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		sent[o.id] = o.sentAt
		statuses[o.status]++
	})
	f.say("%d requests, statuses %v", n, statuses)
	return f.checkCold(log, periods, sent), nil
}

// checkCold checks FAILBACK: the most requests that were sent and arrived in one second of each cold period.
func (f *fleet) checkCold(log *runLog, periods []coldPeriod, sent map[string]time.Time) verdict {
	allowed := coldPerS*overshoot + coldSlack
	worst, over := 0, 0
	for _, p := range periods {
		var at []time.Time
		for _, a := range log.arrivalsAt(p.target) {
			// Only requests that were sent and arrived while the target was cold count.
			if s, ok := sent[a.id]; ok && !s.Before(p.from) && a.at.Before(p.to) {
				at = append(at, a.at)
			}
		}
		sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
		most, first := 0, 0
		for i := range at {
			for at[i].Sub(at[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		f.say("%s got up to %d requests in a second while it was cold, %.0f are allowed", p.target, most, allowed)
		worst = max(worst, most)
		if float64(most) > allowed {
			over++
		}
	}
	f.say("%d of %d cold periods were over the bound, the worst had %d requests in a second", over, len(periods), worst)
	if over > 0 {
		return broken
	}
	return held
}
