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

// Echo is an RPC service with a method that blocks until the test releases it.
type Echo struct {
	release chan struct{}
	waiting chan struct{}
}

// Message is the argument and the reply of Echo's methods.
type Message struct {
	Text string
}

// Say returns the text.
func (e *Echo) Say(m Message, r *Message) error {
	r.Text = m.Text
	return nil
}

// Fail returns the text as an error.
func (e *Echo) Fail(m Message, _ *Message) error {
	return errors.New(m.Text)
}

// Wait returns the text after the release.
func (e *Echo) Wait(m Message, r *Message) error {
	e.waiting <- struct{}{}
	<-e.release
	r.Text = m.Text
	return nil
}

// rpcFixture is a server with an Echo service and a dialer that calls it.
type rpcFixture struct {
	t            *testing.T
	dialer       *Dialer
	echo         *Echo
	server       *Server
	address      netip.AddrPort
	disconnected chan netip.AddrPort
}

// runWithFixture runs f with a fixture and closes it afterwards.
func runWithFixture(t *testing.T, f func(*rpcFixture)) {
	t.Helper()
	r := &rpcFixture{
		t:            t,
		dialer:       NewDialer(),
		echo:         &Echo{release: make(chan struct{}), waiting: make(chan struct{}, 8)},
		disconnected: make(chan netip.AddrPort, 8),
	}
	r.dialer.OnDisconnect = func(a netip.AddrPort) { r.disconnected <- a }
	r.listen("127.0.0.1:0")
	defer func() {
		r.dialer.Close()
		r.server.Close()
	}()
	f(r)
}

// listen starts the server at an address.
func (r *rpcFixture) listen(address string) {
	l, err := net.Listen("tcp", address)
	require.NoError(r.t, err)
	r.address = netip.MustParseAddrPort(l.Addr().String())
	r.server = NewServer(l)
	require.NoError(r.t, r.server.Register("Echo", r.echo))
	go r.server.Serve()
}

// say calls Echo.Say and checks the reply.
func (r *rpcFixture) say(text string) error {
	var m Message
	err := r.dialer.Call(context.Background(), r.address, "Echo.Say", Message{Text: text}, &m)
	if err == nil {
		require.Equal(r.t, text, m.Text)
	}
	return err
}

// waitCall calls Echo.Wait and cancels the caller's context once the call has reached the host.
func (r *rpcFixture) waitCall(reply *Message) error {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-r.echo.waiting
		cancel()
	}()
	return r.dialer.Call(ctx, r.address, "Echo.Wait", Message{Text: "late"}, reply)
}

// requireCallError checks that err is a CallError with the given value of Sent.
func (r *rpcFixture) requireCallError(err error, sent bool) {
	r.t.Helper()
	var call *CallError
	require.ErrorAs(r.t, err, &call)
	require.Equal(r.t, sent, call.Sent)
}

// TestCallFailures checks the result of a call to another host for each way in which the call can fail.
func TestCallFailures(t *testing.T) {
	cases := []struct {
		name string
		run  func(*rpcFixture)
	}{
		{name: "answers", run: func(r *rpcFixture) { require.NoError(r.t, r.say("hello")) }},
		{name: "method returns an error", run: func(r *rpcFixture) {
			err := r.dialer.Call(context.Background(), r.address, "Echo.Fail", Message{Text: "no"}, &Message{})
			require.True(r.t, fault.Is(err, fault.Internal))
			require.NoError(r.t, r.say("the connection stays"))
		}},
		{name: "dead", run: func(r *rpcFixture) {
			r.server.Close()
			err := r.say("hello")
			r.requireCallError(err, false)
			require.True(r.t, IsConnectionRefused(err))
		}},
		{name: "dial times out", run: func(r *rpcFixture) {
			r.dialer.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			err := r.dialer.Call(ctx, r.address, "Echo.Say", Message{}, &Message{})
			r.requireCallError(err, false)
			require.False(r.t, IsConnectionRefused(err))
		}},
		{name: "hung", run: func(r *rpcFixture) {
			reply := Message{Text: "untouched"}
			err := r.waitCall(&reply)
			r.requireCallError(err, true)
			close(r.echo.release)
			require.NoError(r.t, r.say("next"))
			require.Equal(r.t, "untouched", reply.Text, "a late reply must not be written")
		}},
		{name: "connection lost during a call", run: func(r *rpcFixture) {
			defer close(r.echo.release)
			done := make(chan error, 1)
			go func() {
				done <- r.dialer.Call(context.Background(), r.address, "Echo.Wait", Message{}, &Message{})
			}()
			<-r.echo.waiting
			r.server.Close()
			err := <-done
			r.requireCallError(err, true)
			require.Equal(r.t, r.address, <-r.disconnected)
		}},
		{name: "server restarted at the same address", run: func(r *rpcFixture) {
			require.NoError(r.t, r.say("before"))
			r.server.Close()
			require.Equal(r.t, r.address, <-r.disconnected)
			r.listen(r.address.String())
			require.NoError(r.t, r.say("after"), "the dead connection is replaced before the next call")
		}},
		{name: "host stops reading", run: func(r *rpcFixture) {
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
				// One byte is read and nothing after it.
				c.Read(make([]byte, 1))
				cancel()
			}()
			address := netip.MustParseAddrPort(l.Addr().String())
			err = r.dialer.Call(ctx, address, "Echo.Say", Message{Text: text}, &Message{})
			r.requireCallError(err, true)
		}},
		{name: "concurrent calls", run: func(r *rpcFixture) {
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
		{name: "context already cancelled", run: func(r *rpcFixture) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			r.requireCallError(r.dialer.Call(ctx, r.address, "Echo.Say", Message{}, &Message{}), false)
		}},
		{name: "closed dialer", run: func(r *rpcFixture) {
			require.NoError(r.t, r.say("before"))
			r.dialer.Close()
			r.requireCallError(r.say("after"), false)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithFixture(t, c.run)
		})
	}
}

// TestUnboundedRPCMessage guards against a peer that exhausts the host's memory with an endless message.
func TestUnboundedRPCMessage(t *testing.T) {
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
		// The gob length prefix of a message of half a gigabyte.
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
	// The sender also counts bytes in the kernel's socket buffers.
	require.Less(t, <-sent, 2*maxReadBetweenWrites)
}
