// Package instance is the life cycle that entries and agents share: settings,
// logs, metrics, the object API, the configuration and the control goroutine.
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
	"endiverill.example/kernel/link"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/loop"
	"endiverill.example/kernel/metric"
	"endiverill.example/kernel/object"
	"endiverill.example/kernel/plugin"
	"endiverill.example/kernel/setting"
	"endiverill.example/kernel/wire"
)

const operatorsHeaderTimeout = 5 * time.Second

// Instance is one running process of the system, or one of several in a test.
type Instance struct {
	name        string
	role        string
	incarnation uint64
	born        time.Time
	values      *setting.Values
	clock       clock.Clock
	root        *logs.Root
	metrics     *metric.Set
	store       object.Store
	links       *link.Pool
	control     *loop.Loop
	follower    *follow.Follower
	peers       func() []string
	questions   map[string]func(rest string) any
}

// New builds an instance of a role from checked settings. It starts nothing.
func New(role string, values *setting.Values, root *logs.Root, clock clock.Clock) (*Instance, error) {
	name := values.String("instance")
	if name == "" {
		name = role + "-" + uuid.NewString()[:8]
	}
	open, err := plugin.Lookup[object.Opener](plugin.Store, values.String("store.plugin"))
	if err != nil {
		return nil, err
	}
	metrics := metric.New(name)
	count := func(purpose string) { metrics.Add("store."+purpose, 1) }
	instance := &Instance{
		name: name, role: role, born: clock.Now(), values: values, clock: clock, root: root,
		incarnation: NewIncarnation(),
		metrics:     metrics,
		store:       open(values.String("store.address"), count),
		links:       link.NewPool(func(call string, bytes int) { metrics.Add("bytes."+call, int64(bytes)) }),
		control:     loop.New(),
		questions:   map[string]func(rest string) any{},
	}
	instance.peers = func() []string { return values.Strings("peers") }
	instance.follower = follow.New(follow.Options{
		Site: values.String("site"), Store: instance.store, Clock: clock, Metrics: metrics,
		Log: instance.Log("config"), Ask: instance.askConfig,
		Peers:      func() []string { return instance.peers() },
		WatchWait:  values.Duration("config.watch_wait"),
		PeerPeriod: values.Duration("config.peer_period"),
		Jitter:     values.Duration("config.fetch_jitter"),
		Seed:       instance.incarnation,
	})
	return instance, nil
}

func (instance *Instance) askConfig(ctx context.Context, address string, request *wire.ConfigRequest) (*wire.ConfigAnswer, error) {
	answer := &wire.ConfigAnswer{}
	err := instance.links.Invoke(ctx, address, wire.CallConfig, request, answer)
	return answer, err
}

// Name returns the instance's name.
func (instance *Instance) Name() string { return instance.name }

// Incarnation returns a number that no other start of the instance has.
func (instance *Instance) Incarnation() uint64 { return instance.incarnation }

// Age returns the time since the instance was built, on its own clock.
func (instance *Instance) Age() time.Duration { return instance.clock.Now().Sub(instance.born) }

// Born returns when the instance was built.
func (instance *Instance) Born() time.Time { return instance.born }

// Values returns the instance's settings.
func (instance *Instance) Values() *setting.Values { return instance.values }

// Clock returns the instance's clock.
func (instance *Instance) Clock() clock.Clock { return instance.clock }

// Log returns the logger of a part.
func (instance *Instance) Log(part string) *logs.Logger {
	return instance.root.Part(part, instance.name)
}

// Metrics returns the instance's figures.
func (instance *Instance) Metrics() *metric.Set { return instance.metrics }

// Store returns the object API.
func (instance *Instance) Store() object.Store { return instance.store }

// Links returns the connections to other processes of the system.
func (instance *Instance) Links() *link.Pool { return instance.links }

// Control returns the loop that owns the control state.
func (instance *Instance) Control() *loop.Loop { return instance.control }

// Follower returns what follows the configuration.
func (instance *Instance) Follower() *follow.Follower { return instance.follower }

// SetPeers replaces the list of peers that are asked for the configuration.
func (instance *Instance) SetPeers(peers func() []string) { instance.peers = peers }

// Listen opens the listener that a setting names.
func (instance *Instance) Listen(name string) (net.Listener, error) {
	listener, err := net.Listen("tcp", instance.values.String(name))
	return listener, errors.Wrapf(err, "setting %s", name)
}

// ConfigHandler answers a peer's question about the configuration.
func (instance *Instance) ConfigHandler() link.Handler {
	return link.Unary(func(_ context.Context, request *wire.ConfigRequest) (*wire.ConfigAnswer, error) {
		return instance.follower.Answer(request), nil
	})
}

// Operators answers GET requests for paths under prefix on the operators'
// listener, as JSON. The answer gets the rest of the path; nil is not found. It
// must be called before Start.
func (instance *Instance) Operators(prefix string, answer func(rest string) any) {
	instance.questions[prefix] = answer
}

// Start runs the control loop, the follower and the operators' listener in
// group until ctx ends.
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
	for prefix, answer := range instance.questions {
		mux.HandleFunc(prefix, func(writer http.ResponseWriter, request *http.Request) {
			found := answer(strings.TrimPrefix(request.URL.Path, prefix))
			if found == nil {
				http.NotFound(writer, request)
				return
			}
			writer.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(writer).Encode(found)
		})
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: operatorsHeaderTimeout}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "operators' listener")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}
