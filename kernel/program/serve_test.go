package program

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockingRunner is a runner whose Stop returns only when it is aborted.
type blockingRunner struct {
	running     chan struct{}
	stopStarted chan struct{}
}

func (blockingRunner *blockingRunner) Run(ctx context.Context) error {
	close(blockingRunner.running)
	<-ctx.Done()
	return nil
}

func (blockingRunner *blockingRunner) Stop(ctx context.Context) error {
	close(blockingRunner.stopStarted)
	<-ctx.Done()
	return ctx.Err()
}

func sendSignal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	assert.NilError(t, syscall.Kill(syscall.Getpid(), signal))
}

func TestServeGracefulStopIsAbortedBySIGINTOnly(t *testing.T) {
	runner := &blockingRunner{running: make(chan struct{}), stopStarted: make(chan struct{})}
	backgroundStarted := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		done <- Serve(context.Background(), runner, func(ctx context.Context) error {
			close(backgroundStarted)
			<-ctx.Done()
			return nil
		})
	}()
	<-runner.running
	<-backgroundStarted
	sendSignal(t, syscall.SIGTERM)
	<-runner.stopStarted
	sendSignal(t, syscall.SIGTERM)
	select {
	case <-done:
		t.Fatal("Serve returned on a repeated SIGTERM")
	case <-time.After(200 * time.Millisecond):
	}
	sendSignal(t, syscall.SIGINT)
	assert.Assert(t, errors.Is(<-done, context.Canceled))
}
