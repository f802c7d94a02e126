package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// caller sends requests to hosts at random, as the balancer spreads its connections.
type caller struct {
	fleet  *fleet
	client *http.Client
	last   atomic.Int64
}

// outcome is the answer to one request.
type outcome struct {
	id     string
	path   string
	host   string
	sentAt time.Time
	took   time.Duration
	// status is 0 if the connection ended without an answer.
	status int
	stamp  string
	body   string
	err    error
}

func newCaller(f *fleet) *caller {
	return &caller{
		fleet: f,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 16,
			DisableCompression:  true,
			IdleConnTimeout:     10 * time.Second,
		}},
	}
}

// send sends one request to a host and records it.
func (c *caller) send(h *host, method, path, body string, deadline time.Duration) outcome {
	return c.sendAs(fmt.Sprintf("q%06d", c.last.Add(1)), h, method, path, body, deadline)
}

// sendAs is send for a request with the given id.
func (c *caller) sendAs(id string, h *host, method, path, body string, deadline time.Duration) outcome {
	o := outcome{
		id:     id,
		path:   path,
		host:   h.name,
		sentAt: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+path, strings.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	if body == "" {
		r.Body, r.ContentLength, r.GetBody = http.NoBody, 0, nil
	}
	r.Host = callersHost
	r.Header.Set("X-Request-Id", o.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c.fleet.printf("sent %s %s %s to %s", o.id, method, path, h.name)
	resp, err := c.client.Do(r)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		o.body = string(text)
	}
	o.took, o.err = time.Since(o.sentAt), err
	if err == nil {
		o.status, o.stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
	}
	first, _, _ := strings.Cut(o.body, "\n")
	c.fleet.printf("answered %s %d stamp=%q after %d ms: %.160s %v", o.id, o.status, o.stamp, o.took.Milliseconds(), first, errText(err))
	return o
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// anyHost returns a host at random.
func (c *caller) anyHost() *host {
	return c.fleet.hosts[rand.IntN(len(c.fleet.hosts))]
}

// every calls f at a rate until a time, each call in a goroutine of its own, and waits for all of them.
func every(perSecond float64, until time.Time, f func()) {
	done := make(chan struct{})
	open := 0
	for time.Now().Before(until) {
		open++
		go func() {
			f()
			done <- struct{}{}
		}()
		pause := time.After(time.Duration(float64(time.Second) / perSecond))
	waiting:
		for {
			select {
			case <-done:
				open--
			case <-pause:
				break waiting
			}
		}
	}
	for ; open > 0; open-- {
		<-done
	}
}
