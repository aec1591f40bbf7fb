// Package loop provides an event loop. An instance runs every access to its
// control state as a task of one loop, in one goroutine, so the state needs no
// locks.
package loop

import (
	"context"
)

const queueCapacity = 1024 // tasks

// Loop runs tasks one at a time in the order in which they were posted.
type Loop struct {
	tasks chan func()
	done  chan struct{}
}

// New returns a loop; tasks are queued until Run is called.
func New() *Loop {
	return &Loop{tasks: make(chan func(), queueCapacity), done: make(chan struct{})}
}

// Run runs the tasks until ctx is cancelled; tasks that are still queued when Run
// returns do not run. It must be called once only.
func (loop *Loop) Run(ctx context.Context) error {
	defer close(loop.done)
	for {
		select {
		case task := <-loop.tasks:
			task()
		case <-ctx.Done():
			return nil
		}
	}
}

// Post queues a task and returns without waiting for it to run, but blocks while
// the queue is full. A task posted after the loop has ended never runs.
func (loop *Loop) Post(task func()) {
	select {
	case loop.tasks <- task:
	case <-loop.done:
	}
}

// Do runs a task on the loop, waits until it has run and returns true. It returns
// false if the loop has ended, in which case the task may or may not have run. A
// task must not call Do, which would block the loop.
func (loop *Loop) Do(task func()) bool {
	finished := make(chan struct{})
	loop.Post(func() {
		task()
		close(finished)
	})
	select {
	case <-finished:
		return true
	case <-loop.done:
		return false
	}
}
