package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
)

// Echo is a part whose calls can be held up.
type Echo struct {
	hold chan struct{}
	held chan struct{}
}

// Message is what Echo gets and answers.
type Message struct {
	Text string
}

// Say answers with the text.
func (e *Echo) Say(m Message, r *Message) error {
	r.Text = m.Text
	return nil
}

// Fail answers with an error.
func (e *Echo) Fail(m Message, _ *Message) error {
	return errors.New(m.Text)
}

// Wait answers once the test lets it.
func (e *Echo) Wait(m Message, r *Message) error {
	e.held <- struct{}{}
	<-e.hold
	r.Text = m.Text
	return nil
}

// rig is a host that answers and a dialer that calls it.
type rig struct {
	t       *testing.T
	dialer  *Dialer
	echo    *Echo
	server  *Server
	address netip.AddrPort
	lost    chan netip.AddrPort
}

func withHost(t *testing.T, f func(*rig)) {
	t.Helper()
	r := &rig{
		t:      t,
		dialer: NewDialer(),
		echo:   &Echo{hold: make(chan struct{}), held: make(chan struct{}, 8)},
		lost:   make(chan netip.AddrPort, 8),
	}
	r.dialer.Lost = func(a netip.AddrPort) { r.lost <- a }
	r.listen("127.0.0.1:0")
	defer func() {
		r.dialer.Close()
		r.server.Close()
	}()
	f(r)
}

func (r *rig) listen(address string) {
	l, err := net.Listen("tcp", address)
	require.NoError(r.t, err)
	r.address = netip.MustParseAddrPort(l.Addr().String())
	r.server = NewServer(l)
	require.NoError(r.t, r.server.Register("Echo", r.echo))
	go r.server.Serve()
}

func (r *rig) say(text string) error {
	var m Message
	err := r.dialer.Call(context.Background(), r.address, "Echo.Say", Message{Text: text}, &m)
	if err == nil {
		require.Equal(r.t, text, m.Text)
	}
	return err
}

// waitCall makes a call that the host holds up and ends the caller's context once it is there.
func (r *rig) waitCall(reply *Message) error {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-r.echo.held
		cancel()
	}()
	return r.dialer.Call(ctx, r.address, "Echo.Wait", Message{Text: "late"}, reply)
}

func (r *rig) failed(err error, sent bool) {
	r.t.Helper()
	var call *CallError
	require.ErrorAs(r.t, err, &call)
	require.Equal(r.t, sent, call.Sent)
}

// TestHostContract holds what the parts rely on of a call to another host, each fault in its row.
func TestHostContract(t *testing.T) {
	cases := []struct {
		name string
		run  func(*rig)
	}{
		{name: "answers", run: func(r *rig) { require.NoError(r.t, r.say("hello")) }},
		{name: "fails by itself", run: func(r *rig) {
			err := r.dialer.Call(context.Background(), r.address, "Echo.Fail", Message{Text: "no"}, &Message{})
			require.True(r.t, fault.Is(err, fault.Internal))
			require.NoError(r.t, r.say("the connection stays"))
		}},
		{name: "dead", run: func(r *rig) {
			r.server.Close()
			err := r.say("hello")
			r.failed(err, false)
			require.True(r.t, Refused(err))
		}},
		{name: "silent while it is dialled", run: func(r *rig) {
			r.dialer.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			err := r.dialer.Call(ctx, r.address, "Echo.Say", Message{}, &Message{})
			r.failed(err, false)
			require.False(r.t, Refused(err))
		}},
		{name: "hung", run: func(r *rig) {
			reply := Message{Text: "untouched"}
			err := r.waitCall(&reply)
			r.failed(err, true)
			close(r.echo.hold)
			require.NoError(r.t, r.say("next"))
			require.Equal(r.t, "untouched", reply.Text, "a late answer reaches nobody")
		}},
		{name: "cut in the middle of a call", run: func(r *rig) {
			defer close(r.echo.hold)
			done := make(chan error, 1)
			go func() {
				done <- r.dialer.Call(context.Background(), r.address, "Echo.Wait", Message{}, &Message{})
			}()
			<-r.echo.held
			r.server.Close()
			err := <-done
			r.failed(err, true)
			require.Equal(r.t, r.address, <-r.lost)
		}},
		{name: "back at the same address", run: func(r *rig) {
			require.NoError(r.t, r.say("before"))
			r.server.Close()
			require.Equal(r.t, r.address, <-r.lost)
			r.listen(r.address.String())
			require.NoError(r.t, r.say("after"), "the dead connection is replaced before the next call")
		}},
		{name: "reads nothing", run: func(r *rig) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(r.t, err)
			defer l.Close()
			text := string(make([]byte, 16<<20))
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				// Some bytes have come, and no more are read.
				c.Read(make([]byte, 1))
				cancel()
			}()
			a := netip.MustParseAddrPort(l.Addr().String())
			err = r.dialer.Call(ctx, a, "Echo.Say", Message{Text: text}, &Message{})
			r.failed(err, true)
		}},
		{name: "many callers at once", run: func(r *rig) {
			var group sync.WaitGroup
			for i := range 64 {
				group.Go(func() {
					if err := r.say(fmt.Sprint(i)); err != nil {
						r.t.Error(err)
					}
				})
			}
			group.Wait()
		}},
		{name: "caller's context has ended", run: func(r *rig) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			r.failed(r.dialer.Call(ctx, r.address, "Echo.Say", Message{}, &Message{}), false)
		}},
		{name: "closed dialer", run: func(r *rig) {
			require.NoError(r.t, r.say("before"))
			r.dialer.Close()
			r.failed(r.say("after"), false)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHost(t, c.run)
		})
	}
}

// TestHostWithoutEnd guards against what stands at a host's address and sends a message without end.
func TestHostWithoutEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	sent := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		// The head of a message of half a gigabyte, in the encoding between hosts.
		n, err := c.Write([]byte{0xfc, 0x20, 0, 0, 0})
		for total := n; ; total += n {
			if err != nil {
				sent <- total
				return
			}
			n, err = c.Write(make([]byte, 64<<10))
		}
	}()
	d := NewDialer()
	defer d.Close()
	var known bool
	require.Error(t, d.Call(context.Background(), netip.MustParseAddrPort(l.Addr().String()), "Views.Greet", 1, &known))
	// What the kernel holds for both sides comes on top.
	require.Less(t, <-sent, 2*mostUnanswered)
}
