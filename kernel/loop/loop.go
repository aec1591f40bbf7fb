// Package loop runs an instance's control state in one goroutine, so that it
// needs no locks.
package loop

import (
	"context"
)

const backlog = 1024 // steps waiting

// Loop runs steps one after the other.
type Loop struct {
	steps chan func()
	done  chan struct{}
}

// New returns a loop that runs nothing until Run is called.
func New() *Loop {
	return &Loop{steps: make(chan func(), backlog), done: make(chan struct{})}
}

// Run runs the steps until ctx ends.
func (loop *Loop) Run(ctx context.Context) error {
	defer close(loop.done)
	for {
		select {
		case step := <-loop.steps:
			step()
		case <-ctx.Done():
			return nil
		}
	}
}

// Post hands a step to the control goroutine; after the loop's end it is
// dropped.
func (loop *Loop) Post(step func()) {
	select {
	case loop.steps <- step:
	case <-loop.done:
	}
}

// Do hands a step to the control goroutine and waits for it. It returns false
// when the loop has ended.
func (loop *Loop) Do(step func()) bool {
	ran := make(chan struct{})
	loop.Post(func() {
		step()
		close(ran)
	})
	select {
	case <-ran:
		return true
	case <-loop.done:
		return false
	}
}
