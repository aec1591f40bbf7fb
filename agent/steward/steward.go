// Package steward runs the agent of a target to which entries send requests
// directly. It polls the target and sends its load and the models and adapters
// that it holds to subscribed entries in datagrams. It is the only process that
// gives the target load and unload orders; package orders decides which order
// is due.
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
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/loop"
	"endiverill.example/kernel/metric"
	"endiverill.example/kernel/orders"
	"endiverill.example/kernel/wire"
)

const (
	reportInterval       = 100 * time.Millisecond
	urgentReportInterval = 4 * time.Millisecond   // while requests wait for an adapter, which loads in 5 to 14 ms
	fullStateInterval    = 10 * time.Second       // between two full messages to a subscriber when the holding does not change
	fullStateRetryDelay  = 300 * time.Millisecond // before a subscriber that does not acknowledge a change is sent the full state again
	subscriptionTTL      = 3 * time.Second        // a subscription that is not renewed expires after this
	configRetryDelay     = 300 * time.Millisecond
	configCheckInterval  = 2 * time.Second        // between two checks whether entries have announced a newer configuration
	configWatchTimeout   = 3 * time.Second        // of a watch for the first configuration; detects a silent connection
	unloadEstimate       = 500 * time.Millisecond // an unload waits for the model's running requests
	storeLoadWindow      = 8 * time.Second        // age up to which loads from the weight store are reported
)

// Options configure a Steward.
type Options struct {
	Name    string
	Address string // HOST:PORT on which datagrams are received
	Target  string // HOST:PORT of the target
	Service string // name of the target's service; empty when unknown
	Engine  directory.Engine
	Source  directory.Source
	Clock   clock.Clock
	Logs    *logs.Root
	Metrics *metric.Set
}

// Steward is the agent of one target. Its state belongs to the control loop.
type Steward struct {
	options          Options
	log              *logs.Logger
	control          *loop.Loop
	socket           *datagram.Socket
	controller       *orders.Controller
	subscribers      map[netip.AddrPort]*subscriber
	targetID         string // ID of the target's current start
	targetStartedAt  int64  // time of that start in Unix milliseconds
	fence            uint64 // fencing number of orders; 0 until known, and no order is given before
	configVersion    uint64 // of the configuration in use
	announcedVersion uint64 // newest configuration version that entries have announced
	messageNumber    uint64 // of the last state message
	holdingVersion   uint64 // version of what the target holds, raised at each change
	report           directory.Report
	reachable        bool      // the last request for a report succeeded
	reportPending    bool      // a request for a report is under way
	restoreTried     bool      // accessed only by followConfiguration
	lastSent         time.Time // when the state was last sent
}

// New returns a Steward; Run starts it.
func New(options Options) *Steward {
	return &Steward{
		options: options, log: options.Logs.Part("agent", options.Name), control: loop.New(),
		controller: orders.New(), subscribers: map[netip.AddrPort]*subscriber{},
	}
}

// Run polls the target and serves entries until ctx ends. It returns an error
// when it cannot listen on the datagram address.
func (steward *Steward) Run(ctx context.Context) error {
	socket, err := datagram.Listen(ctx, steward.options.Address, steward.options.Metrics.Add)
	if err != nil {
		return err
	}
	steward.socket = socket
	steward.log.Infof("started at %s", steward.options.Address)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return steward.control.Run(ctx) })
	group.Go(func() error { return steward.followConfiguration(ctx) })
	group.Go(func() error { return steward.pollTarget(ctx) })
	group.Go(func() error {
		return socket.Receive(ctx, func(from netip.AddrPort, message wire.Message) {
			steward.control.Post(func() { steward.handleMessage(ctx, from, message) })
		})
	})
	return group.Wait()
}

// Stop returns at once: requests do not pass through this agent, so there is
// nothing to drain.
func (steward *Steward) Stop(context.Context) error {
	steward.log.Infof("stopping")
	return nil
}

// handleMessage handles a message from an entry.
func (steward *Steward) handleMessage(ctx context.Context, from netip.AddrPort, message wire.Message) {
	now := steward.options.Clock.Now()
	switch message := message.(type) {
	case *wire.EntryState:
		steward.subscribe(from, message.Holding, now)
		steward.announcedVersion = max(steward.announcedVersion, message.Version)
		for _, used := range message.Used {
			steward.controller.RecordUse(used.Model, used.Adapter, now)
		}
	case *wire.Command:
		steward.handleCommand(from, message, now)
	}
	steward.advance(ctx)
}

// subscriber is an entry that is subscribed to the target's state.
type subscriber struct {
	renewed  time.Time // when the entry last subscribed
	holding  uint64    // version of the holding in the last full state sent, 0 to send it again
	fullSent time.Time // when the last full state was sent
}

// subscribe adds or renews the subscription of an entry that knows the given
// version of the holding. When that is not the version last sent, and
// fullStateRetryDelay has passed, the full state is due again.
func (steward *Steward) subscribe(from netip.AddrPort, holding uint64, now time.Time) {
	known := steward.subscribers[from]
	if known == nil {
		known = &subscriber{}
		steward.subscribers[from] = known
	}
	known.renewed = now
	if holding != known.holding && now.Sub(known.fullSent) > fullStateRetryDelay {
		known.holding = 0
	}
}

// handleCommand passes an entry's command to the controller, and refuses one
// that names another start of the target or comes before the fence is known.
func (steward *Steward) handleCommand(from netip.AddrPort, command *wire.Command, now time.Time) {
	sender := from.String()
	if command.Target != steward.targetID || steward.fence == 0 {
		reason := "the command is meant for another start of the target"
		if steward.fence == 0 {
			reason = "the agent may not give orders yet"
		}
		steward.send(from, &wire.Result{ID: command.ID, Reason: reason})
		return
	}
	deadline := now.Add(command.Latest)
	if command.Adapter != "" {
		steward.controller.RequestAdapter(command.ID, sender, command.Load, command.Adapter, deadline, now)
		return
	}
	accepted := steward.controller.AcceptPlan(orders.Plan{
		ID: command.ID, From: sender, Fence: command.Fence, Unload: command.Unload, Load: command.Load, StartBy: deadline,
	}, now)
	if accepted {
		steward.holdingVersion++
		steward.log.Infof("planner with fence %d asks to load %q and unload %q", command.Fence, command.Load, command.Unload)
		steward.sendState()
	}
}

func (steward *Steward) send(to netip.AddrPort, message wire.Message) {
	if err := steward.socket.Send(to, message); err != nil {
		steward.options.Metrics.Add("datagrams.unsent", 1)
		steward.log.Debugf("datagram not sent: %v", err)
	}
}

// advance sends the command results that are due and gives the next order.
func (steward *Steward) advance(ctx context.Context) {
	for _, result := range steward.controller.TakeResults() {
		to, err := netip.ParseAddrPort(result.To)
		if err != nil {
			steward.log.Warnf("cannot parse the address %q of the sender of a command, its result is dropped: %v", result.To, err)
			continue
		}
		steward.send(to, &wire.Result{ID: result.ID, Done: result.Done, Reason: result.Reason})
	}
	if steward.fence == 0 || steward.targetID == "" {
		return
	}
	order, ok := steward.controller.NextOrder(steward.options.Clock.Now())
	if !ok {
		return
	}
	order.Target, order.Holder, order.Fence = steward.targetID, steward.options.Name, steward.fence
	go func() {
		outcome, err := steward.options.Engine.Order(ctx, order)
		steward.control.Post(func() { steward.handleOutcome(ctx, order, outcome, err) })
	}()
}

// handleOutcome handles the outcome of an order and asks for a new report.
func (steward *Steward) handleOutcome(ctx context.Context, order directory.Order, outcome directory.OrderOutcome, err error) {
	steward.options.Metrics.Add("orders."+outcome.String(), 1)
	if err != nil {
		steward.log.Warnf("target did not answer an order: %v", err)
	}
	steward.log.Infof("order load %v model %q adapter %q sequence %d fence %d: %s",
		order.Load, order.Model, order.Adapter, order.Sequence, order.Fence, outcome)
	steward.controller.RecordOutcome(order, outcome, steward.options.Clock.Now())
	steward.requestReport(ctx)
}

// followConfiguration reads the configuration at the start, and again when
// entries announce a newer version. The revision of the first read becomes the
// fence of this agent's orders.
func (steward *Steward) followConfiguration(ctx context.Context) error {
	cursor := directory.Cursor(0)
	for ctx.Err() == nil {
		document, revision, err := steward.options.Source.Configuration(ctx, cursor, configWatchTimeout)
		if err != nil {
			steward.options.Metrics.Add("catalogue.errors", 1)
			steward.sleep(ctx, configRetryDelay)
			continue
		}
		cursor = revision
		if document == nil {
			continue // none has been written yet
		}
		cursor = 0
		parsed, err := steward.options.Source.ParseConfiguration(document)
		if err != nil {
			steward.log.Warnf("configuration cannot be parsed: %v", err)
			steward.sleep(ctx, configCheckInterval)
			continue
		}
		steward.control.Post(func() { steward.applyConfiguration(parsed, revision) })
		if !steward.restoreTried {
			steward.restoreTried = true
			steward.restoreModels(ctx)
		}
		for ctx.Err() == nil {
			steward.sleep(ctx, configCheckInterval)
			newer := false
			steward.control.Do(func() { newer = steward.announcedVersion > parsed.Version() })
			if newer {
				break
			}
		}
	}
	return nil
}

// applyConfiguration puts a parsed configuration into use.
func (steward *Steward) applyConfiguration(parsed *directory.Directory, revision directory.Cursor) {
	if steward.fence == 0 {
		steward.fence = uint64(revision)
		steward.holdingVersion++
		steward.log.Infof("orders carry fence %d", steward.fence)
	}
	steward.configVersion = parsed.Version()
	if service := parsed.Service(steward.options.Service); service != nil {
		steward.controller.SetService(service)
	}
}

// restoreModels looks up the models that an earlier start of the target held, so
// that the controller loads them again. The list of targets names an earlier
// start for a while after its end.
func (steward *Steward) restoreModels(ctx context.Context) {
	document, _, err := steward.options.Source.Targets(ctx)
	if err != nil {
		steward.log.Warnf("list of targets is unavailable, models of an earlier start are not loaded again: %v", err)
		return
	}
	targets, _, err := steward.options.Source.ParseTargets(document)
	if err != nil {
		steward.log.Warnf("list of targets cannot be parsed, models of an earlier start are not loaded again: %v", err)
		return
	}
	steward.control.Post(func() {
		for _, target := range targets {
			earlier := target.StartedAt() < steward.targetStartedAt && target.ID() != steward.targetID
			if target.Address() == steward.options.Target && earlier && len(target.Models()) > 0 {
				steward.log.Infof("target held %d models at its earlier start %s", len(target.Models()), target.ID())
				steward.controller.SetRestore(target.Models())
			}
		}
		steward.advance(ctx)
	})
}

// sleep waits for the duration or until ctx ends.
func (steward *Steward) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-steward.options.Clock.After(duration):
	case <-ctx.Done():
	}
}

// pollTarget polls the target, at a shorter interval while requests wait for an
// adapter.
func (steward *Steward) pollTarget(ctx context.Context) error {
	for ctx.Err() == nil {
		period := reportInterval
		steward.control.Do(func() {
			if steward.controller.NeedsReport() {
				period = urgentReportInterval
			}
			steward.requestReport(ctx)
		})
		steward.sleep(ctx, period)
	}
	return nil
}

// requestReport requests a report from the target unless a request is pending.
// After a restart of the target it also requests its new ID.
func (steward *Steward) requestReport(ctx context.Context) {
	if steward.reportPending {
		return
	}
	steward.reportPending = true
	go func() {
		requestedAt := steward.options.Clock.Now()
		report, err := steward.options.Engine.Report(ctx)
		report.At = requestedAt
		id := ""
		if err == nil && report.StartedAt != steward.currentStartedAt() {
			id, err = steward.options.Engine.Identify(ctx)
		}
		steward.control.Post(func() {
			steward.reportPending = false
			steward.handleReport(report, id, err)
			steward.advance(ctx)
		})
	}()
}

// currentStartedAt returns targetStartedAt to callers outside the control loop.
func (steward *Steward) currentStartedAt() int64 {
	startedAt := int64(0)
	steward.control.Do(func() { startedAt = steward.targetStartedAt })
	return startedAt
}

// handleReport handles a report or the failure to get one. It sends the state to
// the entries at each change, and otherwise once per reportInterval.
func (steward *Steward) handleReport(report directory.Report, id string, err error) {
	if err != nil {
		if steward.reachable {
			steward.log.Warnf("lost the target: %v", err)
		}
		steward.reachable = false
		steward.controller.ReportsLost()
		return
	}
	if id != "" {
		steward.log.Infof("target is %s, born %d", id, report.StartedAt)
		steward.targetID, steward.targetStartedAt = id, report.StartedAt
	}
	if !steward.reachable {
		steward.log.Infof("regained the target")
	}
	changed := !steward.reachable || report.Busy != steward.report.Busy || report.Draining != steward.report.Draining ||
		report.Sequence != steward.report.Sequence || !reflect.DeepEqual(report.Models, steward.report.Models) ||
		!slices.Equal(report.Pending, steward.report.Pending)
	steward.report, steward.reachable = report, true
	steward.controller.SetReport(report)
	if changed {
		steward.holdingVersion++
	}
	if changed || report.At.Sub(steward.lastSent) >= reportInterval {
		steward.sendState()
	}
}

// sendState sends the target's state to the subscribed entries: the full state
// when the holding has changed or fullStateInterval has passed, else only the
// load.
func (steward *Steward) sendState() {
	if !steward.reachable || steward.targetID == "" {
		return
	}
	now := steward.options.Clock.Now()
	steward.lastSent = now
	steward.messageNumber++
	state := steward.state(now)
	for address, subscriber := range steward.subscribers {
		if now.Sub(subscriber.renewed) > subscriptionTTL {
			delete(steward.subscribers, address)
			continue
		}
		state.Entries = append(state.Entries, address.String())
	}
	short := state.LoadOnly()
	for address, subscriber := range steward.subscribers {
		if subscriber.holding == steward.holdingVersion && now.Sub(subscriber.fullSent) < fullStateInterval {
			steward.send(address, short)
			continue
		}
		subscriber.holding, subscriber.fullSent = steward.holdingVersion, now
		steward.send(address, state)
	}
}

// state returns the full state message.
func (steward *Steward) state(now time.Time) *wire.TargetState {
	report := steward.report
	state := &wire.TargetState{
		Target: steward.targetID, Born: steward.targetStartedAt, Number: steward.messageNumber, Running: report.Running, Waiting: report.Waiting,
		Starting: report.Starting, Busy: report.Busy, Draining: report.Draining, Leaves: report.RemovedIn,
		Sequence: report.Sequence, UsedKV: report.UsedKV, TotalKV: report.TotalKV, Pending: report.Pending,
		Host: report.Host, Disk: report.Disk, Able: steward.fence != 0, PlanFence: steward.controller.Fence(),
		Full: true, Holding: steward.holdingVersion,
	}
	for _, residentModel := range steward.controller.RoutableModels() {
		state.Models = append(state.Models, wire.ResidentState{Model: residentModel.Model, Adapters: residentModel.Adapters})
	}
	for _, load := range steward.controller.StoreLoads(storeLoadWindow, now) {
		state.Begun = append(state.Begun, wire.Total{Name: load.Model, Value: now.Sub(load.At).Seconds()})
	}
	if model, ends := steward.controller.Loading(); model != "" {
		state.Loading, state.BusyFor = model, max(ends.Sub(now), 0)
	} else if report.Busy {
		state.BusyFor = unloadEstimate
	}
	return state
}
