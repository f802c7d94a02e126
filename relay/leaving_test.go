package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// leave takes a target out of service: the view that a request began with stays as it was.
func (l *fleet) leave(id string, draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.view.Listing()
	p.Revision++
	kept := p.Targets[:0]
	for _, t := range p.Targets {
		if t.ID == id && !draining {
			continue
		}
		if t.ID == id {
			t.Draining, t.Revision = true, p.Revision
		}
		kept = append(kept, t)
	}
	p.Targets = kept
	l.view = l.view.Merge(p, time.Now(), time.Time{})
}

// TestTargetThatLeavesDuringARequest guards against a hedge or a repeat that goes to a target of which the host has learned, since the request began, that it leaves.
func TestTargetThatLeavesDuringARequest(t *testing.T) {
	fails := func(after time.Duration) behaviour {
		return func() (time.Duration, *Reply, error) {
			_, reply, err := breaks()
			return after, reply, err
		}
	}
	for _, one := range []struct {
		name     string
		first    behaviour
		leaves   time.Duration
		draining bool
	}{
		{name: "repeat, draining", first: fails(5 * time.Millisecond), leaves: time.Millisecond, draining: true},
		{name: "repeat, gone", first: fails(5 * time.Millisecond), leaves: time.Millisecond},
		{name: "hedge, draining", first: silent, leaves: time.Millisecond, draining: true},
		{name: "hedge, gone", first: silent, leaves: time.Millisecond},
	} {
		t.Run(one.name, func(t *testing.T) {
			withFleet(t, func(l *fleet) {
				l.one(true, 3)
				// Of two in the own data centre the first one is asked first.
				first := l.add("one", 0, one.first)
				second := l.add("one", 0, nil)
				other := l.add("one", 1, nil)
				go func() {
					time.Sleep(one.leaves)
					l.leave(second, one.draining)
				}()
				a, _ := l.ask("/one/1")
				require.Nil(t, a.Fault)
				require.Equal(t, 1, l.sentTo(first))
				require.Zero(t, l.sentTo(second))
				require.Equal(t, 1, l.sentTo(other))
			})
		})
	}
}

// TestOnlyTargetLeavesDuringARequest guards against a repeat at the target that failed, after it has left.
func TestOnlyTargetLeavesDuringARequest(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.one(true, 2)
		only := l.add("one", 0, breaks)
		go func() {
			time.Sleep(time.Millisecond)
			l.leave(only, false)
		}()
		a, took := l.ask("/one/1")
		require.NotNil(t, a.Fault)
		require.Less(t, took, aim)
		require.Equal(t, 1, l.sentTo(only))
	})
}

// TestTargetThatLeavesDuringADial guards against a sub-request that was chosen in time and is sent, when its connection is there, after its target has left or its data centre was taken out: another target gets it, also one that may not be repeated.
func TestTargetThatLeavesDuringADial(t *testing.T) {
	for _, one := range []struct {
		name       string
		idempotent bool
		leave      func(*fleet, string)
	}{
		{name: "draining", idempotent: true, leave: func(l *fleet, id string) { l.leave(id, true) }},
		{name: "gone, not to be repeated", leave: func(l *fleet, id string) { l.leave(id, false) }},
		{name: "data centre out", idempotent: true, leave: func(l *fleet, _ string) { l.takeOut("dc0") }},
	} {
		t.Run(one.name, func(t *testing.T) {
			withFleet(t, func(l *fleet) {
				l.one(one.idempotent, 2)
				first := l.add("one", 0, nil)
				other := l.add("one", 1, nil)
				l.connects[first] = 20 * time.Millisecond
				go func() {
					time.Sleep(10 * time.Millisecond)
					one.leave(l, first)
				}()
				a, _ := l.ask("/one/1")
				require.Nil(t, a.Fault)
				require.Zero(t, l.sentTo(first))
				require.Equal(t, 1, l.sentTo(other))
			})
		})
	}
}

// takeOut takes a data centre out of service.
func (l *fleet) takeOut(datacentre string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out[datacentre] = true
}
