package host

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/wire"
)

const (
	// leaveNotice is the time between the first sign of leaving and the end of new work, in which the balancer and the peers learn of it.
	leaveNotice = time.Second
	// leaveLinger is the time in which late work is refused before the listeners close.
	leaveLinger = 500 * time.Millisecond
	leavePoll   = 20 * time.Millisecond
	// successorsWait bounds the wait for other hosts to take the targets over, once nothing is in flight.
	successorsWait = 5 * time.Second
	// handOverWait bounds the hand-over of the order record.
	handOverWait = 5 * time.Second
	// drainWait bounds each server's end once nothing is in flight.
	drainWait = 2 * time.Second
)

// Stop begins the graceful stop; further calls change nothing.
func (h *Host) Stop() {
	h.once.Do(func() { close(h.stop) })
}

// addStop adds the actor that turns a signal into a graceful stop; signals that follow don't hasten it.
func (h *Host) addStop(group *run.Group) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for {
			select {
			case s := <-signals:
				h.log.Info("signal", zap.Stringer("name", s))
				h.Stop()
			case <-h.ended:
				return
			}
		}
	}()
	group.Add(func() error {
		select {
		case <-h.stop:
			return h.leave()
		case <-h.ended:
			return nil
		}
	}, func(error) {
		signal.Stop(signals)
		close(h.ended)
	})
}

// untilStopped runs a server whose listener may close during the graceful stop, which must not end the other actors before the stop is done.
func (h *Host) untilStopped(serve func() error) func() error {
	return func() error {
		err := serve()
		if err != nil {
			return err
		}
		<-h.ended
		return nil
	}
}

// leave turns the balancer and the peers away first, finishes all work in flight, hands over what others need and then ends the servers.
func (h *Host) leave() error {
	h.log.Info("host leaves")
	ctx, cancel := h.clock.WithTimeout(context.Background(), h.conf.Grace.D())
	defer cancel()
	h.board.Advance(board.Leaving)
	h.peers.Leave(ctx)
	handed := make(chan error, 1)
	go func() { handed <- h.handOver(ctx) }()
	h.pause(ctx, h.notice)
	h.board.Advance(board.Closed)
	h.drain(ctx)
	h.awaitSuccessors(ctx, handed)
	h.settle(ctx)
	return nil
}

// awaitSuccessors waits until other hosts have taken the targets over; where there is no other host there is nobody to wait for.
func (h *Host) awaitSuccessors(ctx context.Context, handed <-chan error) {
	ctx, cancel := h.clock.WithTimeout(ctx, successorsWait)
	defer cancel()
	if h.alone() {
		return
	}
	select {
	case err := <-handed:
		h.log.Info("targets handed over", zap.Error(err))
	case <-ctx.Done():
		h.log.Warn("targets not taken over in time")
	}
}

// alone reports whether no other host of the data centre can take anything over.
func (h *Host) alone() bool {
	for _, m := range h.board.Membership.Load().Members {
		if m.Datacentre == h.board.Self.Datacentre && m.Name != h.board.Self.Name && m.State == wire.Alive {
			return false
		}
	}
	return true
}

// finish waits for the callers' requests and for the orders under way, also those of callers who have gone.
func (h *Host) finish(ctx context.Context) {
	tick := h.clock.Every(leavePoll)
	defer tick.Stop()
	for h.entry.Open() > 0 && ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	h.book.Close()
	select {
	case <-h.book.Idle():
	case <-ctx.Done():
	}
	h.pause(ctx, h.linger)
}

// settle hands the order record over and ends the servers; it has a time of its own, so that the record isn't lost where the grace was used up.
func (h *Host) settle(grace context.Context) {
	ctx, cancel := h.clock.WithTimeout(context.Background(), handOverWait)
	defer cancel()
	h.book.HandOver(ctx)
	// Callers' connections end first, those of other hosts last.
	for _, server := range slices.Backward(h.shutdowns) {
		if err := h.shutdown(grace, server); err != nil {
			h.log.Warn("requests were cut off", zap.Error(err))
		}
	}
}

// end gives a server the rest of the grace, and a little time where that is used up.
func (h *Host) end(grace context.Context, server func(context.Context) error) error {
	if grace.Err() == nil {
		return server(grace)
	}
	ctx, cancel := h.clock.WithTimeout(context.Background(), drainWait)
	defer cancel()
	return server(ctx)
}

func (h *Host) pause(ctx context.Context, d time.Duration) {
	if h.clock.Sleep(ctx, d) != nil {
		h.log.Warn("grace ended early")
	}
}
