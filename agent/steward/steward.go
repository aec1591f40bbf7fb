// Package steward is the agent beside a target that entries call themselves. It
// alone gives the target orders, and tells entries what the target holds and
// how loaded it is.
package steward

import (
	"context"
	"net/netip"
	"reflect"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/datagram"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/holding"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/loop"
	"endiverill.example/kernel/metric"
	"endiverill.example/kernel/wire"
)

const (
	reportPeriod  = 100 * time.Millisecond
	urgentPeriod  = 4 * time.Millisecond   // while requests wait for an adapter, which takes 5 to 14 ms
	fullPeriod    = 10 * time.Second       // between two messages with all that the target holds, when nothing changes
	fullRepeat    = 300 * time.Millisecond // until an entry that was told of a change says that it knows it
	listenerLife  = 3 * time.Second        // entries that have not subscribed for that long are sent nothing
	startRetry    = 300 * time.Millisecond
	catalogueRest = 2 * time.Second        // between two readings of the configuration
	firstWait     = 3 * time.Second        // of a watch for the first configuration; a connection that went silent shows by then
	usualUnload   = 500 * time.Millisecond // an unload waits for the model's requests
	loadWindow    = 8 * time.Second        // over which loads from the weight store are told
)

// Options are what a steward needs.
type Options struct {
	Name    string
	Address string // of the datagrams, HOST:PORT
	Target  string // address of the target
	Service string // of the target; empty when unknown
	Engine  directory.Engine
	Source  directory.Source
	Clock   clock.Clock
	Logs    *logs.Root
	Metrics *metric.Set
}

// Steward is one agent.
type Steward struct {
	options    Options
	log        *logs.Logger
	control    *loop.Loop
	socket     *datagram.Socket
	controller *holding.Controller
	listeners  map[netip.AddrPort]*listener
	target     string // ID of the target's present start
	born       int64
	fence      uint64 // 0 while none is known, so that no order may be given
	version    uint64 // of the configuration that the catalogue is from
	announced  uint64 // newest version that entries have told
	number     uint64 // of messages
	holding    uint64 // of changes of what the target holds
	report     directory.Report
	reported   bool
	asking     bool
	recalled   bool      // used by followCatalogue alone
	told       time.Time // when entries were told last
}

// New returns a steward that does nothing yet.
func New(options Options) *Steward {
	return &Steward{
		options: options, log: options.Logs.Part("agent", options.Name), control: loop.New(),
		controller: holding.New(), listeners: map[netip.AddrPort]*listener{},
	}
}

// Run serves until ctx ends.
func (steward *Steward) Run(ctx context.Context) error {
	socket, err := datagram.Listen(ctx, steward.options.Address, steward.options.Metrics.Add)
	if err != nil {
		return err
	}
	steward.socket = socket
	steward.log.Infof("started at %s", steward.options.Address)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return steward.control.Run(ctx) })
	group.Go(func() error { return steward.followCatalogue(ctx) })
	group.Go(func() error { return steward.watchTarget(ctx) })
	group.Go(func() error {
		return socket.Receive(ctx, func(from netip.AddrPort, message wire.Message) {
			steward.control.Post(func() { steward.receive(ctx, from, message) })
		})
	})
	return group.Wait()
}

// Stop returns at once, since nothing is left to end.
func (steward *Steward) Stop(context.Context) error {
	steward.log.Infof("stopping")
	return nil
}

// receive handles a message of an entry.
func (steward *Steward) receive(ctx context.Context, from netip.AddrPort, message wire.Message) {
	now := steward.options.Clock.Now()
	switch message := message.(type) {
	case *wire.EntryState:
		steward.subscribe(from, message.Holding, now)
		steward.announced = max(steward.announced, message.Version)
		for _, used := range message.Used {
			steward.controller.Use(used.Model, used.Adapter, now)
		}
	case *wire.Command:
		steward.command(from, message, now)
	}
	steward.advance(ctx)
}

// listener is an entry that wants the target's state.
type listener struct {
	subscribed time.Time
	holding    uint64    // last change of the holding that it was told
	full       time.Time // when it was told the holding
}

// subscribe records an entry that wants the target's state. One that does not
// know the last change of the holding, though it was sent some time ago, is sent
// it again.
func (steward *Steward) subscribe(from netip.AddrPort, holding uint64, now time.Time) {
	known := steward.listeners[from]
	if known == nil {
		known = &listener{}
		steward.listeners[from] = known
	}
	known.subscribed = now
	if holding != known.holding && now.Sub(known.full) > fullRepeat {
		known.holding = 0
	}
}

func (steward *Steward) command(from netip.AddrPort, command *wire.Command, now time.Time) {
	sender := from.String()
	if command.Target != steward.target || steward.fence == 0 {
		reason := "the command is meant for another start of the target"
		if steward.fence == 0 {
			reason = "the agent may not give orders yet"
		}
		steward.send(from, &wire.Result{ID: command.ID, Reason: reason})
		return
	}
	latest := now.Add(command.Latest)
	if command.Adapter != "" {
		steward.controller.Want(command.ID, sender, command.Load, command.Adapter, latest, now)
		return
	}
	taken := steward.controller.Command(holding.Plan{
		ID: command.ID, From: sender, Fence: command.Fence, Unload: command.Unload, Load: command.Load, Latest: latest,
	}, now)
	if taken {
		steward.holding++
		steward.log.Infof("planner with fence %d asks to load %q and unload %q", command.Fence, command.Load, command.Unload)
		steward.tell()
	}
}

func (steward *Steward) send(to netip.AddrPort, message wire.Message) {
	if err := steward.socket.Send(to, message); err != nil {
		steward.options.Metrics.Add("datagrams.unsent", 1)
		steward.log.Debugf("message not sent: %v", err)
	}
}

// advance sends the answers that are due and gives the next order.
func (steward *Steward) advance(ctx context.Context) {
	for _, result := range steward.controller.Results() {
		to, err := netip.ParseAddrPort(result.To)
		if err != nil {
			steward.log.Warnf("answer for %q has no address: %v", result.To, err)
			continue
		}
		steward.send(to, &wire.Result{ID: result.ID, Done: result.Done, Reason: result.Reason})
	}
	if steward.fence == 0 || steward.target == "" {
		return
	}
	order, ok := steward.controller.Next(steward.options.Clock.Now())
	if !ok {
		return
	}
	order.Target, order.Holder, order.Fence = steward.target, steward.options.Name, steward.fence
	go func() {
		outcome, err := steward.options.Engine.Order(ctx, order)
		steward.control.Post(func() { steward.ordered(ctx, order, outcome, err) })
	}()
}

func (steward *Steward) ordered(ctx context.Context, order directory.Order, outcome directory.OrderOutcome, err error) {
	steward.options.Metrics.Add("orders."+outcome.String(), 1)
	if err != nil {
		steward.log.Warnf("order got no answer: %v", err)
	}
	steward.log.Infof("order load %v model %q adapter %q sequence %d fence %d: %s",
		order.Load, order.Model, order.Adapter, order.Sequence, order.Fence, outcome)
	steward.controller.Answered(order, outcome, steward.options.Clock.Now())
	steward.ask(ctx)
}

// followCatalogue reads the configuration at the start, and again when entries
// tell of a newer one. The first reading also gives the fence.
func (steward *Steward) followCatalogue(ctx context.Context) error {
	cursor := directory.Cursor(0)
	for ctx.Err() == nil {
		document, revision, err := steward.options.Source.Configuration(ctx, cursor, firstWait)
		if err != nil {
			steward.options.Metrics.Add("catalogue.errors", 1)
			steward.pause(ctx, startRetry)
			continue
		}
		cursor = revision
		if document == nil {
			continue // none has been written yet
		}
		cursor = 0
		parsed, err := steward.options.Source.ParseConfiguration(document)
		if err != nil {
			steward.log.Warnf("configuration cannot be read: %v", err)
			steward.pause(ctx, catalogueRest)
			continue
		}
		steward.control.Post(func() { steward.install(parsed, revision) })
		if !steward.recalled {
			steward.recalled = true
			steward.recall(ctx)
		}
		for ctx.Err() == nil {
			steward.pause(ctx, catalogueRest)
			newer := false
			steward.control.Do(func() { newer = steward.announced > parsed.Version() })
			if newer {
				break
			}
		}
	}
	return nil
}

func (steward *Steward) install(parsed *directory.Directory, revision directory.Cursor) {
	if steward.fence == 0 {
		steward.fence = uint64(revision)
		steward.holding++
		steward.log.Infof("orders carry fence %d", steward.fence)
	}
	steward.version = parsed.Version()
	if service := parsed.Service(steward.options.Service); service != nil {
		steward.controller.SetService(service)
	}
}

// recall looks up what an earlier start of the target held, which the platform's
// list still tells for a while.
func (steward *Steward) recall(ctx context.Context) {
	document, _, err := steward.options.Source.Targets(ctx)
	if err != nil {
		steward.log.Warnf("list of targets is not at hand, earlier models are not loaded again: %v", err)
		return
	}
	targets, _, err := steward.options.Source.ParseTargets(document)
	if err != nil {
		steward.log.Warnf("list of targets cannot be read, earlier models are not loaded again: %v", err)
		return
	}
	steward.control.Post(func() {
		for _, target := range targets {
			earlier := target.Born() < steward.born && target.ID() != steward.target
			if target.Address() == steward.options.Target && earlier && len(target.Models()) > 0 {
				steward.log.Infof("target held %d models at its earlier start %s", len(target.Models()), target.ID())
				steward.controller.Restore(target.Models())
			}
		}
		steward.advance(ctx)
	})
}

func (steward *Steward) pause(ctx context.Context, pause time.Duration) {
	select {
	case <-steward.options.Clock.After(pause):
	case <-ctx.Done():
	}
}

// watchTarget asks the target for its state, more often while requests wait.
func (steward *Steward) watchTarget(ctx context.Context) error {
	for ctx.Err() == nil {
		period := reportPeriod
		steward.control.Do(func() {
			if steward.controller.Urgent() {
				period = urgentPeriod
			}
			steward.ask(ctx)
		})
		steward.pause(ctx, period)
	}
	return nil
}

// ask asks the target for a report, unless one is on its way.
func (steward *Steward) ask(ctx context.Context) {
	if steward.asking {
		return
	}
	steward.asking = true
	go func() {
		begun := steward.options.Clock.Now()
		report, err := steward.options.Engine.Report(ctx)
		report.At = begun
		id := ""
		if err == nil && report.Born != steward.bornNow() {
			id, err = steward.options.Engine.Identify(ctx)
		}
		steward.control.Post(func() {
			steward.asking = false
			steward.take(report, id, err)
			steward.advance(ctx)
		})
	}()
}

func (steward *Steward) bornNow() int64 {
	born := int64(0)
	steward.control.Do(func() { born = steward.born })
	return born
}

func (steward *Steward) take(report directory.Report, id string, err error) {
	if err != nil {
		if steward.reported {
			steward.log.Warnf("lost the target: %v", err)
		}
		steward.reported = false
		steward.controller.Lost()
		return
	}
	if id != "" {
		steward.log.Infof("target is %s, born %d", id, report.Born)
		steward.target, steward.born = id, report.Born
	}
	if !steward.reported {
		steward.log.Infof("regained the target")
	}
	changed := !steward.reported || report.Busy != steward.report.Busy || report.Draining != steward.report.Draining ||
		report.Sequence != steward.report.Sequence || !reflect.DeepEqual(report.Models, steward.report.Models) ||
		!slices.Equal(report.Pending, steward.report.Pending)
	steward.report, steward.reported = report, true
	steward.controller.Reported(report)
	if changed {
		steward.holding++
	}
	if changed || report.At.Sub(steward.told) >= reportPeriod {
		steward.tell()
	}
}

// tell sends the target's state to the subscribed entries.
func (steward *Steward) tell() {
	if !steward.reported || steward.target == "" {
		return
	}
	now := steward.options.Clock.Now()
	steward.told = now
	steward.number++
	state := steward.state(now)
	for listener, entry := range steward.listeners {
		if now.Sub(entry.subscribed) > listenerLife {
			delete(steward.listeners, listener)
			continue
		}
		state.Entries = append(state.Entries, listener.String())
	}
	short := state.LoadOnly()
	for listener, entry := range steward.listeners {
		if entry.holding == steward.holding && now.Sub(entry.full) < fullPeriod {
			steward.send(listener, short)
			continue
		}
		entry.holding, entry.full = steward.holding, now
		steward.send(listener, state)
	}
}

func (steward *Steward) state(now time.Time) *wire.TargetState {
	report := steward.report
	state := &wire.TargetState{
		Target: steward.target, Born: steward.born, Number: steward.number, Running: report.Running, Waiting: report.Waiting,
		Starting: report.Starting, Busy: report.Busy, Draining: report.Draining, Leaves: report.Leaves,
		Sequence: report.Sequence, UsedKV: report.UsedKV, TotalKV: report.TotalKV, Pending: report.Pending,
		Host: report.Host, Disk: report.Disk, Able: steward.fence != 0, PlanFence: steward.controller.Fence(),
		Full: true, Holding: steward.holding,
	}
	for _, resident := range steward.controller.Models() {
		state.Models = append(state.Models, wire.ResidentState{Model: resident.Model, Adapters: resident.Adapters})
	}
	for _, load := range steward.controller.StoreLoads(loadWindow, now) {
		state.Begun = append(state.Begun, wire.Total{Name: load.Model, Value: now.Sub(load.At).Seconds()})
	}
	if model, ends := steward.controller.Loading(); model != "" {
		state.Loading, state.BusyFor = model, max(ends.Sub(now), 0)
	} else if report.Busy {
		state.BusyFor = usualUnload
	}
	return state
}
