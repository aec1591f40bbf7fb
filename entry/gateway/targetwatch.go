package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/connection"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/stream"
)

const (
	targetWatchers    = 2                      // entries that watch the same target, so that one may fail
	watchInterval     = 250 * time.Millisecond // between two looks at which targets are to be watched
	watchLife         = 2 * time.Second        // of a connection that carries no request; targets close theirs after some seconds
	watchDialTimeout  = 700 * time.Millisecond
	watchRetry        = 200 * time.Millisecond // until a target is dialled again that could not be reached or has closed the connection
	maxWatchedTargets = 256                    // by one entry
	maxEndsSent       = 32                     // to all other entries within a second; state messages report the rest
)

// targetWatch keeps a connection open to targets of services at which several software versions
// are listed. A target that starts anew under its ID, possibly at another version, closes it.
// Without it, no entry notices that of a target that carries no request, and streams are taken
// up there until the list shows it.
type targetWatch struct {
	gateway   *Gateway
	running   sync.WaitGroup
	mu        sync.Mutex // guards the fields below
	watched   map[directory.TargetKey]*watchedTarget
	sent      int       // ends since sentSince
	sentSince time.Time // when counting began anew
}

func newTargetWatch(gateway *Gateway) *targetWatch {
	return &targetWatch{gateway: gateway, watched: map[directory.TargetKey]*watchedTarget{}}
}

// run watches the targets that fall to this entry until ctx ends.
func (targetWatch *targetWatch) run(ctx context.Context) error {
	defer targetWatch.running.Wait()
	for ctx.Err() == nil {
		targetWatch.update(ctx)
		select {
		case <-targetWatch.gateway.clock.After(watchInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// update begins and ends watches by the list of targets and the live entries.
func (targetWatch *targetWatch) update(ctx context.Context) {
	wanted := map[directory.TargetKey]*directory.Target{}
	for _, target := range targetWatch.choose() {
		wanted[target.Key()] = target
	}
	targetWatch.mu.Lock()
	defer targetWatch.mu.Unlock()
	for key, watched := range targetWatch.watched {
		if target := wanted[key]; target == nil || target.Address() != watched.target.Address() {
			watched.cancel()
			delete(targetWatch.watched, key)
		}
	}
	for key, target := range wanted {
		if targetWatch.watched[key] == nil {
			watchCtx, cancel := context.WithCancel(ctx)
			watched := &watchedTarget{targetWatch: targetWatch, target: target, cancel: cancel}
			targetWatch.watched[key] = watched
			targetWatch.running.Go(func() { watched.run(watchCtx) })
		}
	}
	targetWatch.gateway.metrics.SetGauge("targets.watched", int64(len(wanted)))
}

// choose returns the targets that this entry is to watch. All entries choose by the same scores,
// so that each target has targetWatchers. A target that leaves is not watched, as some wait for
// the end of their connections before they end.
func (targetWatch *targetWatch) choose() []*directory.Target {
	gateway := targetWatch.gateway
	targets := gateway.syncer.targetsOfSeveralVersions()
	if len(targets) == 0 {
		return nil
	}
	ip, err := netip.ParseAddr(gateway.options.IP)
	if err != nil {
		return nil // peers.run reports it
	}
	own := netip.AddrPortFrom(ip.Unmap(), uint16(gateway.options.PeerPort))
	entries := []netip.AddrPort{own}
	for _, other := range gateway.peers.liveEntries() {
		entries = append(entries, netip.AddrPortFrom(other.Addr().Unmap(), other.Port()))
	}
	var chosen []*directory.Target
	for _, target := range targets {
		if target.Draining() || len(chosen) == maxWatchedTargets {
			continue
		}
		for _, watcher := range stream.Keepers(stream.NewID(target.Service(), target.ID()), entries, targetWatchers) {
			if watcher == own {
				chosen = append(chosen, target)
			}
		}
	}
	return chosen
}

// ranAt reports whether an open connection, opened before the given time, shows that the target
// has not ended then.
func (targetWatch *targetWatch) ranAt(key directory.TargetKey, at time.Time) bool {
	targetWatch.mu.Lock()
	watched := targetWatch.watched[key]
	targetWatch.mu.Unlock()
	if watched == nil {
		return false
	}
	held := watched.held.Load()
	return held != nil && held.openedAt.Before(at) && connection.Peek(held.conn) == connection.Idle
}

// recordEnd records that a target has ended, certainly or possibly. It notifies other entries at
// once, unless many targets end at the same time.
func (targetWatch *targetWatch) recordEnd(key directory.TargetKey, certain bool) {
	gateway := targetWatch.gateway
	now := gateway.clock.Now()
	targetWatch.mu.Lock()
	if now.Sub(targetWatch.sentSince) >= time.Second {
		targetWatch.sent, targetWatch.sentSince = 0, now
	}
	targetWatch.sent++
	toAll := targetWatch.sent <= maxEndsSent
	targetWatch.mu.Unlock()
	gateway.metrics.Add("targets.watch_ended", 1)
	gateway.recordBroken(key, certain, toAll)
}

// watchedTarget is a target to which this entry keeps a connection.
type watchedTarget struct {
	targetWatch *targetWatch
	target      *directory.Target
	cancel      context.CancelFunc
	held        atomic.Pointer[heldConn] // the latest one; nil if there is none
	keepsIdle   atomic.Bool              // the target has kept a connection for watchLife, so that the end of one means its own
	suspected   atomic.Bool              // an end that is not certain has been recorded
	refuses     bool                     // its last dial
}

// run keeps a connection open until ctx ends. The next one is opened before the last one is
// closed, so that there is no moment at which the target could end unnoticed.
func (watchedTarget *watchedTarget) run(ctx context.Context) {
	gateway := watchedTarget.targetWatch.gateway
	defer watchedTarget.release()
	for ctx.Err() == nil {
		dialledAt := gateway.clock.Now()
		if conn, refused := watchedTarget.dial(ctx); conn != nil || refused {
			if watchedTarget.release() {
				watchedTarget.keepsIdle.Store(true)
			}
			watchedTarget.hold(conn)
		}
		held := watchedTarget.held.Load()
		if held == nil {
			gateway.sleep(ctx, watchRetry)
			continue
		}
		select {
		case <-held.ended:
			watchedTarget.held.Store(nil)
			pause := watchRetry
			if held.answered {
				pause = watchLife // the target takes no connection without a request
			}
			// After a longer time, the next dial is made at once, since a refusal shows that the target has ended.
			gateway.sleep(ctx, pause-gateway.clock.Now().Sub(dialledAt))
		case <-gateway.clock.After(watchLife):
		case <-ctx.Done():
		}
	}
}

// dial opens a connection to the target. It returns nil if there is none, and whether it was
// refused: nothing listens there any more.
func (watchedTarget *watchedTarget) dial(ctx context.Context) (conn net.Conn, refused bool) {
	gateway, target := watchedTarget.targetWatch.gateway, watchedTarget.target
	gateway.metrics.Add("targets.dials", 1)
	dialer := net.Dialer{Timeout: watchDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", target.Address())
	refused = errors.Is(err, syscall.ECONNREFUSED)
	if refused && !watchedTarget.refuses {
		watchedTarget.targetWatch.recordEnd(target.Key(), true)
	}
	watchedTarget.refuses = refused
	if err != nil {
		gateway.log.Debugf("target %s cannot be watched, it is dialled again: %v", target.ID(), err)
		return nil, refused
	}
	return conn, false
}

// hold reads from the connection, if any, until its end, and records that end.
func (watchedTarget *watchedTarget) hold(conn net.Conn) {
	if conn == nil {
		return
	}
	held := &heldConn{conn: conn, openedAt: watchedTarget.targetWatch.gateway.clock.Now(), ended: make(chan struct{})}
	watchedTarget.held.Store(held)
	go func() {
		defer close(held.ended)
		defer func() { _ = conn.Close() }() // it may be closed already
		count, err := conn.Read(make([]byte, 1))
		held.answered = count > 0
		if held.answered || errors.Is(err, net.ErrClosed) {
			return
		}
		// Targets that close idle connections early do so again and again.
		if certain := watchedTarget.keepsIdle.Load(); certain || !watchedTarget.suspected.Swap(true) {
			watchedTarget.targetWatch.recordEnd(watchedTarget.target.Key(), certain)
		}
	}()
}

// release closes the connection that is held. It reports whether that was open for watchLife.
func (watchedTarget *watchedTarget) release() (keptIdle bool) {
	held := watchedTarget.held.Swap(nil)
	if held == nil {
		return false
	}
	keptIdle = connection.Peek(held.conn) == connection.Idle
	if keptIdle {
		_ = held.conn.Close()
	}
	<-held.ended // an end that has arrived is recorded
	return keptIdle && watchedTarget.targetWatch.gateway.clock.Now().Sub(held.openedAt) >= watchLife
}

// heldConn is a connection without a request to a target.
type heldConn struct {
	conn     net.Conn
	openedAt time.Time
	ended    chan struct{} // closed when the connection has ended
	answered bool          // the target has sent bytes; set before ended is closed
}
