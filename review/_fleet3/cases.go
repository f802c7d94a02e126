package main

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// comeBack repeats one deadly request, a new attempt twice a second at the next host, until the context ends.
func comeBack(ctx context.Context, f *fleet, path string, deadline time.Duration) {
	go f.load(ctx, 2, func(h *host) { f.ask(h, http.MethodGet, path, nil, deadline) })
}

// playDeadlyDark has one request under which the machines of the servers that run it go dark for three seconds.
func playDeadlyDark(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	f.silentEnds = true
	if err := begin(f, 7); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	usual(ctx, f)
	if err := rest(ctx, 6*time.Second); err != nil {
		return false, err
	}
	path := "/recall" + deadlyMark + "/1"
	if trouble {
		f.note("a request under which servers go dark begins to come")
		comeBack(ctx, f, path, time.Second)
	}
	if err := rest(ctx, 20*time.Second); err != nil {
		return false, err
	}
	cancel()
	time.Sleep(1500 * time.Millisecond)
	return f.judge.deadlyBudget(path, kormsuWindow), nil
}

// playUnlisted loses the answer to the write with which three of nine hosts register, and executes these writes seconds later. Later a request comes that crashes its servers.
func playUnlisted(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	lost := map[string]bool{}
	if trouble {
		f.store.late = func(keys []string) (bool, time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			for _, k := range keys {
				if name, ok := strings.CutPrefix(k, "hosts/"); ok && slices.Contains([]string{"front-aktau-1", "front-aralsk-1", "front-bakanas-1"}, name) && !lost[name] {
					lost[name] = true
					f.note("the answer to the write of %s is lost, it is executed 5 s later", k)
					return true, 5 * time.Second
				}
			}
			return false, 0
		}
	}
	if err := begin(f, 9); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	usual(ctx, f)
	for range 6 {
		if err := rest(ctx, 5*time.Second); err != nil {
			return false, err
		}
		f.note("hosts in the store: %s", strings.Join(f.store.keys("hosts/"), " "))
	}
	path := "/recall" + deadlyMark + "/1"
	f.note("a request that crashes its servers begins to come")
	comeBack(ctx, f, path, time.Second)
	if err := rest(ctx, 20*time.Second); err != nil {
		return false, err
	}
	cancel()
	time.Sleep(1500 * time.Millisecond)
	return f.judge.deadlyBudget(path, saltladeWindow), nil
}

// playOwners restarts the host that divides the rate limits of a region's targets, while some hosts read the list of hosts from a replica of the store that is seconds behind.
func playOwners(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	replica := []string{"front-aralsk-1", "front-aralsk-2", "front-bakanas-1"}
	if err := beginBehind(f, 7, func(name string) bool { return slices.Contains(replica, name) }); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var limited []string
	const perSecond = 30
	for _, t := range f.targets {
		if t.service == "permit" {
			t.mu.Lock()
			t.limit = perSecond
			limited = append(limited, t.id)
			t.mu.Unlock()
		}
	}
	stated := time.Now()
	// The balancer spreads callers unevenly: the host that is restarted gets few.
	go loadAt(ctx, f.hosts[1:], 170, func(h *host) { f.ask(h, http.MethodGet, "/permit/"+newID(), nil, 3*time.Second) })
	go f.load(ctx, 14, func(h *host) { f.ask(h, http.MethodGet, "/card/"+newID(), nil, 3*time.Second) })
	if err := rest(ctx, 15*time.Second); err != nil {
		return false, err
	}
	owner := f.hosts[0]
	if trouble {
		if err := f.restartHost(owner); err != nil {
			return false, err
		}
	}
	if err := rest(ctx, 20*time.Second); err != nil {
		return false, err
	}
	cancel()
	time.Sleep(3500 * time.Millisecond)
	held := true
	for _, id := range limited {
		held = f.judge.limit(id, perSecond, stated, map[string]bool{owner.name: true}) && held
	}
	return held, nil
}
