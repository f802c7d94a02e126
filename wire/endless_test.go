package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/bound"
	"kingcupcross/mock"
)

const (
	// hostMemory is the memory that the smallest hosts may use.
	hostMemory = 184 << 20
	// endlessPeers is the number of other hosts that send endless messages at the same time.
	endlessPeers = 16
)

// Lengths of gob messages: of half a gigabyte, and of one that may just be received.
var (
	hugeLength    = []byte{0xfc, 0x20, 0, 0, 0}
	allowedLength = []byte{0xfd, 0x8f, 0xff, 0xff}
)

// startEndlessPeer starts a host that sends the length of a message and bytes without end over each connection. If it awaits a call, it sends nothing before.
func startEndlessPeer(t *testing.T, awaitsCall bool, length []byte) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if awaitsCall {
					if _, err := bufio.NewReader(c).ReadByte(); err != nil {
						return
					}
				}
				_, err := c.Write(length)
				for block := make([]byte, 64<<10); err == nil; {
					_, err = c.Write(block)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// startEndlessPeers starts endlessPeers hosts and returns their addresses, separated by commas.
func startEndlessPeers(t *testing.T, awaitCalls bool, length []byte) string {
	addresses := make([]string, endlessPeers)
	for i := range addresses {
		addresses[i] = startEndlessPeer(t, awaitCalls, length)
	}
	return strings.Join(addresses, ",")
}

// callEndlessPeers calls the hosts at some addresses at the same time.
func callEndlessPeers(addresses string) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	d := NewDialer()
	defer d.Close()
	for range 3 {
		var all sync.WaitGroup
		for _, address := range strings.Split(addresses, ",") {
			all.Go(func() {
				var known bool
				// The error is that of a broken connection.
				_ = d.Call(ctx, netip.MustParseAddrPort(address), "Views.Greet", 1, &known)
			})
		}
		all.Wait()
	}
}

// dialingListener is a listener whose connections are those that it opens to some addresses, so that a server can be called by a process which can't know its address.
type dialingListener struct {
	net.Listener
	addresses []string
	opened    int
	ended     sync.WaitGroup
}

// Accept opens the next connection.
func (l *dialingListener) Accept() (net.Conn, error) {
	if l.opened == len(l.addresses) {
		return nil, net.ErrClosed
	}
	l.opened++
	c, err := net.Dial("tcp", l.addresses[l.opened-1])
	if err != nil {
		return nil, err
	}
	l.ended.Add(1)
	return &trackedConn{Conn: c, ended: &l.ended}, nil
}

// trackedConn is a connection that reports its end.
type trackedConn struct {
	net.Conn
	once  sync.Once
	ended *sync.WaitGroup
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.once.Do(c.ended.Done)
	return c.Conn.Close()
}

// serveEndlessPeers serves the calls of the hosts at some addresses at the same time.
func serveEndlessPeers(addresses string) {
	for range 3 {
		l := &dialingListener{addresses: strings.Split(addresses, ",")}
		s := NewServer(l)
		_ = s.Register("Echo", &Echo{})
		_ = s.Serve()
		l.ended.Wait()
	}
}

// TestEndlessMessagesOfHosts guards against hosts that end another one by endless messages, as replies or as calls. The receiving host runs in a process of its own, so that the memory of the senders doesn't count.
func TestEndlessMessagesOfHosts(t *testing.T) {
	for name, receive := range map[string]func(addresses string){
		"replies": callEndlessPeers,
		"calls":   serveEndlessPeers,
	} {
		for _, length := range [][]byte{hugeLength, allowedLength} {
			t.Run(fmt.Sprintf("%s, length %x", name, length), func(t *testing.T) {
				peak, err := mock.PeakMemory(t.Name(), startEndlessPeers(t, name == "replies", length), receive)
				require.NoError(t, err)
				t.Logf("peak memory: %.1f MB", float64(peak)/(1<<20))
				require.Less(t, peak, int64(hostMemory/2))
			})
		}
	}
}

// newLimitedConn returns a connection and its other end.
func newLimitedConn(t *testing.T, memory *bound.Memory, onEnd func(remote bool)) (limited *conn, peer net.Conn) {
	own, peer := net.Pipe()
	t.Cleanup(func() { peer.Close() })
	return newConn(own, memory, onEnd), peer
}

// TestMessagesAreChargedUntilTheyAreDecoded guards against a budget that isn't given back when a message is complete or its connection ends, and against one that is given back too early.
func TestMessagesAreChargedUntilTheyAreDecoded(t *testing.T) {
	const length = 0x10000
	message := append([]byte{0xfd, 0x01, 0x00, 0x00}, make([]byte, length)...)
	memory := bound.NewMemory(length)
	c, peer := newLimitedConn(t, memory, func(bool) {})
	go peer.Write(append(message, message...))
	buffer := make([]byte, len(message))
	for range 2 {
		for got := 0; got < len(message); {
			n, err := c.Read(buffer[:len(message)-got])
			require.NoError(t, err)
			got += n
			require.False(t, memory.Reserve(length))
		}
	}
	c.Close()
	require.True(t, memory.Reserve(length))
}

// TestTooLongMessageIsNoEndOfThePeer guards against a host that counts as ended because it sent a message for which there is no room.
func TestTooLongMessageIsNoEndOfThePeer(t *testing.T) {
	for _, length := range [][]byte{hugeLength, allowedLength, {0x80}} {
		ended := make(chan bool, 1)
		c, peer := newLimitedConn(t, bound.NewMemory(1<<20), func(remote bool) { ended <- remote })
		go peer.Write(length)
		_, err := c.Read(make([]byte, 8))
		for err == nil {
			_, err = c.Read(make([]byte, 8))
		}
		require.True(t, errors.Is(err, bound.ErrTooLong) || errors.Is(err, bound.ErrNoMemory) || errors.Is(err, errMalformedLength), "%v", err)
		require.False(t, <-ended)
	}
}
