package entry

import (
	"sync"
	"time"
)

// answerStream is the answer of an agent, see rpc.Stream.
type answerStream interface {
	Pending() bool
	LastReceived() time.Time
}

// silenceTimer calls giveUp once an agent has sent nothing for the timeout. What the agent
// sent while this process did not run counts: it is read before the time is judged.
type silenceTimer struct {
	timeout time.Duration
	giveUp  func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	stream  answerStream // nil until the request is sent
	since   time.Time    // the agent has sent nothing since
}

func newSilenceTimer(timeout time.Duration, giveUp func()) *silenceTimer {
	silenceTimer := &silenceTimer{timeout: timeout, giveUp: giveUp, since: time.Now()}
	silenceTimer.mu.Lock()
	defer silenceTimer.mu.Unlock()
	silenceTimer.timer = time.AfterFunc(timeout, silenceTimer.check)
	return silenceTimer
}

// watch begins a new wait for what the agent sends on stream.
func (silenceTimer *silenceTimer) watch(stream answerStream) {
	silenceTimer.mu.Lock()
	defer silenceTimer.mu.Unlock()
	silenceTimer.stopped = false
	silenceTimer.stream, silenceTimer.since = stream, time.Now()
	silenceTimer.timer.Reset(silenceTimer.timeout)
}

// pending reports whether the agent has sent something that has yet to be received.
func (silenceTimer *silenceTimer) pending() bool {
	silenceTimer.mu.Lock()
	defer silenceTimer.mu.Unlock()
	return silenceTimer.stream != nil && silenceTimer.stream.Pending()
}

// stop ends the wait.
func (silenceTimer *silenceTimer) stop() {
	silenceTimer.mu.Lock()
	defer silenceTimer.mu.Unlock()
	silenceTimer.stopped = true
	silenceTimer.timer.Stop()
}

// pendingInterval is the time between two looks while frames of the agent wait to be received,
// which takes long only behind a slow caller.
const pendingInterval = 50 * time.Millisecond

// check gives up, or sets the timer again if the agent has sent something.
func (silenceTimer *silenceTimer) check() {
	silenceTimer.mu.Lock()
	defer silenceTimer.mu.Unlock()
	if silenceTimer.stopped {
		return
	}
	if silenceTimer.stream != nil {
		if silenceTimer.stream.Pending() {
			silenceTimer.timer.Reset(pendingInterval)
			return
		}
		if received := silenceTimer.stream.LastReceived(); received.After(silenceTimer.since) {
			silenceTimer.since = received
		}
	}
	if left := silenceTimer.timeout - time.Since(silenceTimer.since); left > 0 {
		silenceTimer.timer.Reset(left)
		return
	}
	silenceTimer.stopped = true
	silenceTimer.giveUp()
}
