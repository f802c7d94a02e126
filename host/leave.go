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
	// defaultNoticePeriod is the time between the announcement that the host is leaving and the first refusal of new
	// requests, in which the load balancer and the peers learn of it.
	defaultNoticePeriod = time.Second
	// defaultLingerPeriod is how long late requests are still refused with an answer before the listeners close.
	defaultLingerPeriod = 500 * time.Millisecond
	// drainPollInterval is the interval at which the number of requests in flight is checked.
	drainPollInterval = 20 * time.Millisecond
	// targetHandoverTimeout limits the wait for other hosts to take over the targets, once nothing is in flight.
	targetHandoverTimeout = 5 * time.Second
	// orderHandoverTimeout limits the handover of the order record.
	orderHandoverTimeout = 5 * time.Second
	// lateShutdownTimeout limits the shutdown of each server after the grace period has ended.
	lateShutdownTimeout = 2 * time.Second
)

// Stop begins the graceful stop. Further calls have no effect.
func (h *Host) Stop() {
	h.stopOnce.Do(func() { close(h.stopRequested) })
}

// addStopActor adds the actor that stops the host gracefully after a signal or a call of Stop. Further signals don't
// shorten the stop.
func (h *Host) addStopActor(group *run.Group) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for {
			select {
			case s := <-signals:
				h.log.Info("signal", zap.Stringer("name", s))
				h.Stop()
			case <-h.done:
				return
			}
		}
	}()
	group.Add(func() error {
		select {
		case <-h.stopRequested:
			return h.leave()
		case <-h.done:
			return nil
		}
	}, func(error) {
		signal.Stop(signals)
		close(h.done)
	})
}

// serveUntilStopped wraps a server's actor. During a graceful stop the server returns nil as soon as it is shut down; the
// actor must not return then, since that would end the other actors before the stop is complete.
func (h *Host) serveUntilStopped(serve func() error) func() error {
	return func() error {
		err := serve()
		if err != nil {
			return err
		}
		<-h.done
		return nil
	}
}

// leave stops the host gracefully: it tells the load balancer and the peers to send no more requests, finishes the requests
// in flight, hands over its targets and its order record, and then shuts down the servers.
func (h *Host) leave() error {
	h.log.Info("host is leaving")
	ctx, cancel := h.clock.WithTimeout(context.Background(), h.conf.Grace.D())
	defer cancel()
	h.board.Advance(board.Leaving)
	h.peers.Leave(ctx)
	targetsHandedOver := make(chan error, 1)
	go func() { targetsHandedOver <- h.handOverTargets(ctx) }()
	h.sleep(ctx, h.noticePeriod)
	h.board.Advance(board.Closed)
	h.drain(ctx)
	h.awaitTargetHandover(ctx, targetsHandedOver)
	h.finishStop(ctx)
	return nil
}

// awaitTargetHandover waits until other hosts have taken over the targets, unless this is the last host of its data centre.
func (h *Host) awaitTargetHandover(ctx context.Context, targetsHandedOver <-chan error) {
	ctx, cancel := h.clock.WithTimeout(ctx, targetHandoverTimeout)
	defer cancel()
	if h.isLastInDatacentre() {
		return
	}
	select {
	case err := <-targetsHandedOver:
		h.log.Info("targets handed over", zap.Error(err))
	case <-ctx.Done():
		h.log.Warn("timed out waiting for other hosts to take over the targets")
	}
}

// isLastInDatacentre reports whether the data centre has no other host that is alive and could take over targets.
func (h *Host) isLastInDatacentre() bool {
	for _, m := range h.board.Membership.Load().Members {
		if m.Datacentre == h.board.Self.Datacentre && m.Name != h.board.Self.Name && m.State == wire.Alive {
			return false
		}
	}
	return true
}

// drainRequests waits for the callers' requests and for all orders in flight, also those whose callers have disconnected.
func (h *Host) drainRequests(ctx context.Context) {
	tick := h.clock.Every(drainPollInterval)
	defer tick.Stop()
	for h.entry.InFlight() > 0 && ctx.Err() == nil {
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
	h.sleep(ctx, h.lingerPeriod)
}

// finishStop hands over the order record and shuts down the servers. The handover has a timeout of its own, so that the
// record isn't lost if the grace period has ended.
func (h *Host) finishStop(grace context.Context) {
	ctx, cancel := h.clock.WithTimeout(context.Background(), orderHandoverTimeout)
	defer cancel()
	h.book.HandOver(ctx)
	// The servers end in reverse order: callers' connections first, those of other hosts last.
	for _, shutdown := range slices.Backward(h.serverShutdowns) {
		if err := h.shutdownServer(grace, shutdown); err != nil {
			h.log.Warn("server was shut down with requests in flight", zap.Error(err))
		}
	}
}

// shutdownWithin shuts down a server within the rest of the grace period, or within lateShutdownTimeout if that has ended.
func (h *Host) shutdownWithin(grace context.Context, shutdown func(context.Context) error) error {
	if grace.Err() == nil {
		return shutdown(grace)
	}
	ctx, cancel := h.clock.WithTimeout(context.Background(), lateShutdownTimeout)
	defer cancel()
	return shutdown(ctx)
}

// sleep waits for d or until the grace period ends.
func (h *Host) sleep(ctx context.Context, d time.Duration) {
	if h.clock.Sleep(ctx, d) != nil {
		h.log.Warn("grace period ended before the stop was complete")
	}
}
