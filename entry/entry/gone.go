package entry

import (
	"context"
	"net"
	"time"

	"endiverill.example/entry/exchange"
)

const gonePeriod = 200 * time.Millisecond

// watchCaller cancels the request when its caller closes the connection, until
// ctx ends.
func watchCaller(ctx context.Context, conn net.Conn, cancel context.CancelFunc) {
	ticker := time.NewTicker(gonePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if exchange.Closed(conn) {
				cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
