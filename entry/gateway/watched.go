package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/entry/exchange"
)

// lookPeriod is between two looks at the callers of open requests; targets may
// work on for at most half a second after a caller has left.
const lookPeriod = 150 * time.Millisecond

var errCallerGone = errors.New("the caller closed its connection")

// watched cancels the requests whose callers have closed their connections.
type watched struct {
	mu    sync.Mutex
	calls map[*visit]net.Conn
}

func newWatched() *watched { return &watched{calls: map[*visit]net.Conn{}} }

func (watched *watched) add(visit *visit, conn net.Conn) {
	watched.mu.Lock()
	defer watched.mu.Unlock()
	watched.calls[visit] = conn
}

func (watched *watched) remove(visit *visit) {
	watched.mu.Lock()
	defer watched.mu.Unlock()
	delete(watched.calls, visit)
}

func (watched *watched) run(ctx context.Context, gateway *Gateway) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gateway.clock.After(lookPeriod):
			watched.look()
			gateway.abandon()
		}
	}
}

func (watched *watched) look() {
	watched.mu.Lock()
	defer watched.mu.Unlock()
	for visit, conn := range watched.calls {
		if exchange.Closed(conn) {
			visit.cancel(errCallerGone)
			delete(watched.calls, visit)
		}
	}
}
