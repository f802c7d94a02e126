// Command fleet3 plays the script cases of the third review: it runs the project's hosts as processes on loopback, with stand-ins for the store, the targets and the callers, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name. Each returns whether the rule held.
var cases = map[string]func(ctx context.Context, f *fleet, trouble bool) (bool, error){
	"deadlydark": playDeadlyDark,
	"unlisted":   playUnlisted,
	"owners":     playOwners,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: fleet3 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, record string) int {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	folder, err := os.MkdirTemp("", "fleet3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Fprintln(os.Stderr, folder)
	}
	f, err := newFleet(folder, program, out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stop()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("case %s, disruption %t", name, trouble)
	held, err := cases[name](ctx, f, trouble)
	f.judge.outcomes()
	switch {
	case err != nil || ctx.Err() != nil:
		f.note("the case couldn't run: %v", err)
		return 2
	case held:
		f.note("the rule held")
		return 0
	default:
		f.note("the rule was broken")
		return 1
	}
}

// route is one route of the operator's configuration.
func route(name, prefix, kind string, timeoutMs, aimMs int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": callerHost, "prefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs,
		"targetLatencyMs": aimMs, "priority": 1, "maxAttempts": 2, "allowedRegions": []string{},
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

const shardCount = 10

// begin sets up a small deployment: two fan-out routes over the same shards, a route to a registry, which may be repeated, and one to a ledger, which may not.
func begin(f *fleet, hosts int) error {
	return beginBehind(f, hosts, func(string) bool { return false })
}

// beginBehind is begin with some hosts at a replica of the store.
func beginBehind(f *fleet, hosts int, behind func(name string) bool) error {
	var shards []string
	var services []map[string]any
	add := func(name string, targets int, work time.Duration) error {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConns": 49, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 0.0})
		return f.addTargets(name, targets, work)
	}
	for i := range shardCount {
		name := fmt.Sprintf("feed%02d", i)
		shards = append(shards, name)
		if err := add(name, 2, 4*time.Millisecond); err != nil {
			return err
		}
	}
	if err := add("registry", 3, 20*time.Millisecond); err != nil {
		return err
	}
	if err := add("ledger", 3, 20*time.Millisecond); err != nil {
		return err
	}
	// The permits are kept in one zone.
	if err := add("permit", 0, 0); err != nil {
		return err
	}
	for range 2 {
		t := &target{fleet: f, service: "permit", zone: zones[0].name, work: 20 * time.Millisecond}
		if err := t.start(); err != nil {
			return err
		}
		f.targets = append(f.targets, t)
	}
	f.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			route("recall", "/recall/", "idempotent", 1000, 100, map[string]any{"fanoutServices": shards, "topK": 10, "minShardShare": 0.89}),
			route("schedule", "/schedule/", "idempotent", 800, 80, map[string]any{"fanoutServices": shards, "topK": 5, "minShardShare": 0.75}),
			route("card", "/card/", "idempotent", 3000, 300, map[string]any{"service": "registry"}),
			route("permit", "/permit/", "idempotent", 3000, 300, map[string]any{"service": "permit"}),
			route("order", "/order/", "non_idempotent", 3000, 300, map[string]any{"service": "ledger"}),
		},
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	go f.beats()
	if err := f.addHosts(hosts, behind); err != nil {
		return err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	f.note("%d hosts are ready, %d targets", hosts, len(f.targets))
	return nil
}

// usual starts the usual traffic: queries over all shards and single lookups.
func usual(ctx context.Context, f *fleet) {
	go f.load(ctx, 54, func(h *host) { f.ask(h, http.MethodGet, "/recall/"+newID(), nil, time.Second) })
	go f.load(ctx, 18, func(h *host) { f.ask(h, http.MethodGet, "/schedule/"+newID(), nil, 800*time.Millisecond) })
	go f.load(ctx, 18, func(h *host) { f.ask(h, http.MethodGet, "/card/"+newID(), nil, 3*time.Second) })
}

// rest waits, or returns the error of the context if it ends first.
func rest(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
