package program

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopping is a runner whose stop takes until it is aborted.
type stopping struct {
	running chan struct{}
	begun   chan struct{}
}

func (stopping *stopping) Run(ctx context.Context) error {
	close(stopping.running)
	<-ctx.Done()
	return nil
}

func (stopping *stopping) Stop(ctx context.Context) error {
	close(stopping.begun)
	<-ctx.Done()
	return ctx.Err()
}

func raise(t *testing.T, signal syscall.Signal) {
	t.Helper()
	assert.NilError(t, syscall.Kill(syscall.Getpid(), signal))
}

func TestOnlyAnInterruptEndsAPlannedStop(t *testing.T) {
	runner := &stopping{running: make(chan struct{}), begun: make(chan struct{})}
	beside := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		done <- Serve(context.Background(), runner, func(ctx context.Context) error {
			close(beside)
			<-ctx.Done()
			return nil
		})
	}()
	<-runner.running
	<-beside
	raise(t, syscall.SIGTERM)
	<-runner.begun
	raise(t, syscall.SIGTERM)
	select {
	case <-done:
		t.Fatal("a repeated SIGTERM ended the stop")
	case <-time.After(200 * time.Millisecond):
	}
	raise(t, syscall.SIGINT)
	assert.Assert(t, errors.Is(<-done, context.Canceled))
}
