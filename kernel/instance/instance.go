// Package instance provides the base that entries and agents share. From validated
// settings it builds the metrics, object store client, connection pool, configuration
// follower and control loop. Until the instance stops it runs the last two, and the
// listener that serves operators. The handling of requests and orders is left to the
// entry and agent modules; package program starts an instance from the command line.
package instance

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/follow"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/loop"
	"endiverill.example/kernel/metric"
	"endiverill.example/kernel/object"
	"endiverill.example/kernel/plugin"
	"endiverill.example/kernel/rpc"
	"endiverill.example/kernel/setting"
	"endiverill.example/kernel/wire"
)

const operatorsReadHeaderTimeout = 5 * time.Second

// Instance is one entry or agent. A process runs one instance; a test may run
// several.
type Instance struct {
	name             string
	role             string
	incarnation      uint64
	createdAt        time.Time
	values           *setting.Values
	clock            clock.Clock
	logRoot          *logs.Root
	metrics          *metric.Set
	store            object.Store
	links            *rpc.Pool
	control          *loop.Loop
	follower         *follow.Follower
	peers            func() []string
	operatorHandlers map[string]func(rest string) any // by path prefix
}

// New builds an instance of the given role from validated settings; Start runs it.
// An unknown store plug-in is an error.
func New(role string, values *setting.Values, logRoot *logs.Root, clock clock.Clock) (*Instance, error) {
	name := values.String("instance")
	if name == "" {
		name = role + "-" + uuid.NewString()[:8]
	}
	openStore, err := plugin.Lookup[object.Opener](plugin.Store, values.String("store.plugin"))
	if err != nil {
		return nil, err
	}
	metrics := metric.New(name)
	countCall := func(purpose string) { metrics.Add("store."+purpose, 1) }
	instance := &Instance{
		name: name, role: role, createdAt: clock.Now(), values: values, clock: clock, logRoot: logRoot,
		incarnation:      NewIncarnation(),
		metrics:          metrics,
		store:            openStore(values.String("store.address"), countCall),
		links:            rpc.NewPool(func(call string, bytes int) { metrics.Add("bytes."+call, int64(bytes)) }),
		control:          loop.New(),
		operatorHandlers: map[string]func(rest string) any{},
	}
	instance.peers = func() []string { return values.Strings("peers") }
	instance.follower = follow.New(follow.Options{
		Site: values.String("site"), Store: instance.store, Clock: clock, Metrics: metrics,
		Log: instance.Log("config"), QueryPeer: instance.requestConfig,
		Peers:      func() []string { return instance.peers() },
		WatchWait:  values.Duration("config.watch_wait"),
		PeerPeriod: values.Duration("config.peer_period"),
		Jitter:     values.Duration("config.fetch_jitter"),
		Seed:       instance.incarnation,
	})
	return instance, nil
}

func (instance *Instance) requestConfig(ctx context.Context, address string, request *wire.ConfigRequest) (*wire.ConfigAnswer, error) {
	answer := &wire.ConfigAnswer{}
	err := instance.links.Invoke(ctx, address, wire.CallConfig, request, answer)
	return answer, err
}

// Name returns the name of the instance in logs, metrics and status.
func (instance *Instance) Name() string { return instance.name }

// Incarnation returns the number that identifies this start of the instance.
func (instance *Instance) Incarnation() uint64 { return instance.incarnation }

// Age returns the time since the instance was built, by the instance's clock.
func (instance *Instance) Age() time.Duration { return instance.clock.Now().Sub(instance.createdAt) }

// CreatedAt returns when the instance was built.
func (instance *Instance) CreatedAt() time.Time { return instance.createdAt }

// Values returns the instance's settings.
func (instance *Instance) Values() *setting.Values { return instance.values }

// Clock returns the instance's clock.
func (instance *Instance) Clock() clock.Clock { return instance.clock }

// Log returns the logger of a component, whose name is the prefix of its lines.
func (instance *Instance) Log(component string) *logs.Logger {
	return instance.logRoot.Component(component, instance.name)
}

// Metrics returns the instance's metrics.
func (instance *Instance) Metrics() *metric.Set { return instance.metrics }

// Store returns the client of the platform's object API.
func (instance *Instance) Store() object.Store { return instance.store }

// Links returns the pool of connections to other instances.
func (instance *Instance) Links() *rpc.Pool { return instance.links }

// Control returns the loop that runs all access to the control state.
func (instance *Instance) Control() *loop.Loop { return instance.control }

// Follower returns the configuration follower.
func (instance *Instance) Follower() *follow.Follower { return instance.follower }

// SetPeers sets the function that returns the addresses of the peers to request the
// configuration from; by default they come from the setting peers. SetPeers must be
// called before Start.
func (instance *Instance) SetPeers(peers func() []string) { instance.peers = peers }

// Listen opens a TCP listener on the address that the setting called name holds.
func (instance *Instance) Listen(name string) (net.Listener, error) {
	listener, err := net.Listen("tcp", instance.values.String(name))
	return listener, errors.Wrapf(err, "listen on the address of setting %s", name)
}

// ConfigHandler returns the handler of configuration requests from peers.
func (instance *Instance) ConfigHandler() rpc.Handler {
	return rpc.Unary(func(_ context.Context, request *wire.ConfigRequest) (*wire.ConfigAnswer, error) {
		return instance.follower.Answer(request), nil
	})
}

// HandleOperators registers a handler for requests to paths under prefix on the
// operators' listener; a prefix without a slash at its end matches only itself. The
// handler gets the rest of the path and returns the value to send as JSON; nil gives
// 404 Not Found. HandleOperators must be called before Start.
func (instance *Instance) HandleOperators(prefix string, handler func(rest string) any) {
	instance.operatorHandlers[prefix] = handler
}

// Start runs the control loop and the configuration follower in group until ctx is
// cancelled. If the setting operators_listen has an address, Start also serves
// operators there: the metrics and the handlers of HandleOperators. It returns an
// error if it cannot listen on that address.
func (instance *Instance) Start(ctx context.Context, group *errgroup.Group) error {
	group.Go(func() error { return instance.control.Run(ctx) })
	group.Go(func() error { return instance.follower.Run(ctx) })
	if instance.values.String("operators_listen") == "" {
		return nil
	}
	listener, err := instance.Listen("operators_listen")
	if err != nil {
		return err
	}
	instance.serveOperators(ctx, group, listener)
	return nil
}

func (instance *Instance) serveOperators(ctx context.Context, group *errgroup.Group, listener net.Listener) {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	for prefix, handler := range instance.operatorHandlers {
		mux.HandleFunc(prefix, func(writer http.ResponseWriter, request *http.Request) {
			result := handler(strings.TrimPrefix(request.URL.Path, prefix))
			if result == nil {
				http.NotFound(writer, request)
				return
			}
			writer.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(writer).Encode(result)
		})
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: operatorsReadHeaderTimeout}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve the operators' listener")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}
