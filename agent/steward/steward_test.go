package steward

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/datagram"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/metric"
	"endiverill.example/kernel/wire"
)

// idleEngine is a target that holds one model and does nothing.
type idleEngine struct{}

func (idleEngine idleEngine) Report(context.Context) (directory.Report, error) {
	return directory.Report{Born: 7, Models: []directory.Resident{{Model: "m"}}}, nil
}

func (idleEngine idleEngine) Identify(context.Context) (string, error) { return "i-1", nil }

func (idleEngine idleEngine) Order(context.Context, directory.Order) (directory.OrderOutcome, error) {
	return directory.OrderRefused, nil
}

// awaySource is a platform that does not answer.
type awaySource struct{}

var errAway = errors.New("away")

func (awaySource awaySource) Configuration(context.Context, directory.Cursor, time.Duration) ([]byte, directory.Cursor, error) {
	return nil, 0, errAway
}

func (awaySource awaySource) Targets(context.Context) ([]byte, directory.Cursor, error) {
	return nil, 0, errAway
}

func (awaySource awaySource) ParseConfiguration([]byte) (*directory.Directory, error) {
	return nil, errAway
}

func (awaySource awaySource) ParseTargets([]byte) ([]*directory.Target, int, error) {
	return nil, 0, errAway
}

// listenerUnderTest is an entry that subscribes to an agent.
type listenerUnderTest struct {
	t      *testing.T
	socket *datagram.Socket
	agent  netip.AddrPort
	heard  chan *wire.TargetState
}

func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	return conn.LocalAddr().String()
}

// startAgent runs an agent and an entry that has not subscribed to it yet.
func startAgent(t *testing.T) *listenerUnderTest {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	metrics := metric.New(fmt.Sprintf("%s-%d", t.Name(), time.Now().UnixNano()))
	address := freeAddress(t)
	agent := New(Options{
		Name: "agent", Address: address, Target: "127.0.0.1:1", Engine: idleEngine{}, Source: awaySource{},
		Clock: clock.System{}, Logs: logs.Discard(), Metrics: metrics,
	})
	done := make(chan error, 2)
	go func() { done <- agent.Run(ctx) }()
	socket, err := datagram.Listen(ctx, freeAddress(t), metrics.Add)
	assert.NilError(t, err)
	listener := &listenerUnderTest{t: t, socket: socket, agent: netip.MustParseAddrPort(address), heard: make(chan *wire.TargetState, 1000)}
	go func() {
		done <- socket.Receive(ctx, func(_ netip.AddrPort, message wire.Message) {
			if state, ok := message.(*wire.TargetState); ok {
				listener.heard <- state
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		for range 2 {
			assert.Check(t, <-done == nil)
		}
	})
	return listener
}

// subscribe tells the agent which change of the holding the entry knows.
func (listenerUnderTest *listenerUnderTest) subscribe(holding uint64) {
	assert.NilError(listenerUnderTest.t, listenerUnderTest.socket.Send(listenerUnderTest.agent, &wire.EntryState{Name: "e", Holding: holding}))
}

// full waits for a message that tells all that the target holds; nil when none
// comes for a while.
func (listenerUnderTest *listenerUnderTest) full(patience time.Duration) *wire.TargetState {
	timeout := time.After(patience)
	for {
		select {
		case state := <-listenerUnderTest.heard:
			if state.Full {
				return state
			}
		case <-timeout:
			return nil
		}
	}
}

func TestHoldingIsToldAgainToAnEntryThatMissedIt(t *testing.T) {
	t.Parallel()
	listener := startAgent(t)
	var first *wire.TargetState
	for range 50 {
		listener.subscribe(0)
		if first = listener.full(50 * time.Millisecond); first != nil {
			break
		}
	}
	assert.Assert(t, first != nil && first.Models[0].Model == "m" && first.Holding > 0)
	listener.subscribe(first.Holding)
	assert.Assert(t, listener.full(5*reportPeriod) == nil, "the entry knows it")
	listener.subscribe(0)
	again := listener.full(5 * reportPeriod)
	assert.Assert(t, again != nil && again.Holding == first.Holding, "the entry has not heard it, or has started anew")
}
