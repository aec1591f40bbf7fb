package entry

import (
	"context"
	"net"
	"time"

	"endiverill.example/kernel/connection"
)

const callerPollInterval = 200 * time.Millisecond

// watchCaller calls cancel once the caller has closed its connection. It returns
// then or when ctx ends.
func watchCaller(ctx context.Context, conn net.Conn, cancel context.CancelFunc) {
	ticker := time.NewTicker(callerPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if connection.Peek(conn) == connection.Closed {
				cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
