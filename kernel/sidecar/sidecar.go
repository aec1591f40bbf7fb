// Package sidecar runs the agent of a target to which entries send requests
// directly. It polls the target and sends its load and the models and adapters
// that it holds to subscribed entries in datagrams. It alone gives the target load
// and unload orders; package orders decides which order is due. The planner runs a
// remote agent for a target whose own agent is silent, see Remote.
package sidecar

import (
	"context"
	"net/netip"
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/datagram"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/loop"
	"endiverill.example/kernel/metric"
	"endiverill.example/kernel/orders"
	"endiverill.example/kernel/permit"
	"endiverill.example/kernel/prompt"
	"endiverill.example/kernel/retry"
	"endiverill.example/kernel/wire"
)

const (
	reportInterval       = 100 * time.Millisecond // between two requests for a report
	stateInterval        = 2 * reportInterval     // between two state messages without a change, to few subscribers
	maxStateInterval     = 6 * reportInterval     // the same to many; a target that fails is noticed after two of them
	subscribersPerState  = 48                     // each such number of subscribers lengthens the time between state messages by stateInterval
	maxListed            = 16                     // subscribers that are listed in each full message; more of them only at intervals
	listInterval         = 2 * time.Second        // between two full messages that list more subscribers, 18 bytes each
	minStateInterval     = 25 * time.Millisecond  // between two state messages because of prompts
	earlyStateTokens     = 4000                   // prompt tokens sent to the target since the last state message after which the next is due early
	urgentReportInterval = 4 * time.Millisecond   // while requests wait for an adapter, which loads in 5 to 14 ms, or an order waits for a report
	fullStateInterval    = 10 * time.Second       // between two full messages to a subscriber when the inventory does not change
	fullStateRetryDelay  = 300 * time.Millisecond // before a subscriber that does not acknowledge a change is sent the full state again
	configRetryDelay     = 300 * time.Millisecond // after a failed read of the configuration
	firstStartDelay      = time.Second            // at the first start of the system, until the operator has written the configuration
	configCheckInterval  = 2 * time.Second        // between two checks whether entries have announced a newer configuration, and before an invalid one is read again
	configWatchTimeout   = 3 * time.Second        // of a watch for the first configuration; bounds how long a dead connection goes unnoticed
	unloadEstimate       = 500 * time.Millisecond // expected duration of an unload, which waits for the model's running requests
	loadLineInterval     = time.Second            // between two log lines with the target's load
	storeLoadWindow      = 8 * time.Second        // age up to which loads from the weight store are reported
)

// Options configure a Sidecar.
type Options struct {
	Name       string
	Address    string // HOST:PORT on which datagrams are received
	Target     string // HOST:PORT of the target
	Service    string // name of the target's service; empty when unknown
	Engine     directory.Engine
	Source     directory.Source
	FirstStart bool // the whole system starts for the first time, so that the target has no earlier incarnation
	Clock      clock.Clock
	Logs       *logs.Root
	Metrics    *metric.Set
	Remote     *Remote // of an agent on another machine than the target, nil for others
}

// Sidecar is the agent of one target. Its state belongs to the control loop.
type Sidecar struct {
	options              Options
	log                  *logs.Logger
	control              *loop.Loop
	socket               *datagram.Socket
	controller           *orders.Controller
	subscribers          map[netip.AddrPort]*subscriber
	targetID             string // ID of the target's current incarnation
	targetStartedAt      int64  // start of that incarnation in Unix milliseconds
	fence                uint64 // fencing number of orders; 0 until known, and no order is given before
	right                *orders.Right
	heldOrders           bool                      // mayOrder, as of the last report
	orderedAt            atomic.Pointer[time.Time] // of the last order, nil before the first
	polledAt             time.Time                 // when pollTarget last ran
	configVersion        uint64                    // of the configuration in use
	announcedVersion     uint64                    // newest configuration version that entries have announced
	messageNumber        uint64                    // of the last state message
	inventoryVersion     uint64                    // version of the fields that only full state messages contain; raised at the changes that handleReport checks for, by an accepted plan and when the fence is set, but not when only other such fields change, for example HostModels
	report               directory.Report
	reachable            bool // the last request for a report succeeded
	rest                 retry.Rest
	permits              *permit.Issuer // for requests to the target, if it is limited
	reportPending        bool           // a request for a report is under way
	restoreTried         bool           // restoreModels has been called; accessed only by followConfiguration
	prompts              *prompt.Tracker
	unsentTokens         int                       // of prompts since the last state message
	lastSent             time.Time                 // when the state was last sent
	listedAt             time.Time                 // when a message last listed the subscribers
	nextLoadLine         time.Time                 // a report requested at or after this time is logged
	nextState            time.Time                 // a report requested at or after this time is sent even if nothing has changed
	publishedVersion     uint64                    // inventoryVersion in the last state of a remote agent
	publishedUnreachable bool                      // Unreachable in it
	unusable             bool                      // the target answered the last request for a report with something else
	listedTargets        []*directory.Target       // from which models of an earlier incarnation are restored; nil before the list is read and after they were
	routableModels       []directory.ResidentModel // in the last state sent
}

// New returns a Sidecar; Run starts it.
func New(options Options) *Sidecar {
	sidecar := &Sidecar{
		options: options, log: options.Logs.Component("agent", options.Name), control: loop.New(),
		controller: orders.New(), prompts: prompt.New(), subscribers: map[netip.AddrPort]*subscriber{},
		permits: permit.NewIssuer(), right: orders.NewRight(options.Clock.Now()),
	}
	if options.Remote != nil {
		sidecar.controller = orders.NewRemote()
		sidecar.targetID, sidecar.targetStartedAt = options.Remote.Key.ID, options.Remote.Key.StartedAt
	}
	return sidecar
}

// Run polls the target and serves entries until ctx ends. It returns an error
// when it cannot listen on the datagram address.
func (sidecar *Sidecar) Run(ctx context.Context) error {
	socket, err := datagram.Listen(ctx, sidecar.options.Address, sidecar.options.Metrics.Add)
	if err != nil {
		return err
	}
	sidecar.socket = socket
	sidecar.log.Infof("started at %s", sidecar.options.Address)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return sidecar.control.Run(ctx) })
	group.Go(func() error { return sidecar.followConfiguration(ctx) })
	group.Go(func() error { return sidecar.pollTarget(ctx) })
	group.Go(func() error {
		return socket.ReceiveTimed(ctx, func(from netip.AddrPort, message wire.Message, unread time.Duration) {
			sidecar.control.Post(func() { sidecar.handleMessage(ctx, from, message, unread) })
		})
	})
	return group.Wait()
}

// Stop returns at once: requests do not pass through this agent, so there is
// nothing to drain.
func (sidecar *Sidecar) Stop(context.Context) error {
	sidecar.log.Infof("stopping")
	return nil
}

// handleMessage handles a message from an entry that lay unread for a while.
func (sidecar *Sidecar) handleMessage(ctx context.Context, from netip.AddrPort, message wire.Message, unread time.Duration) {
	now := sidecar.options.Clock.Now()
	switch message := message.(type) {
	case *wire.EntryState:
		sidecar.subscribe(from, message.InventoryVersion, now)
		sidecar.announcedVersion = max(sidecar.announcedVersion, message.Version)
		switch {
		case message.PlanFence != 0 && message.HoldsOrders:
			sidecar.right.Claim(message.PlanFence, 0, now)
		case message.PlanFence != 0:
			sidecar.right.Release(message.PlanFence, unread, now)
		}
		for _, used := range message.UsedAdapters {
			sidecar.controller.RecordUse(used.Model, used.Adapter, now)
		}
	case *wire.OrderClaim:
		sidecar.handleClaim(from, message, now)
	case *wire.Command:
		sidecar.handleCommand(from, message, now)
	case *wire.SentPrompt:
		sidecar.handleSentPrompt(message, now)
		return
	case *wire.PermitRequest:
		sidecar.handlePermitRequest(from, message, now)
		return
	}
	sidecar.advance(ctx)
}

// handlePermitRequest grants an entry a permit for a request to the target, unless it names
// another incarnation.
func (sidecar *Sidecar) handlePermitRequest(from netip.AddrPort, request *wire.PermitRequest, now time.Time) {
	result := &wire.CommandResult{ID: request.ID, Reason: "the request is meant for another start of the target"}
	if request.Target == sidecar.targetID && request.StartedAt == sidecar.targetStartedAt {
		key := directory.TargetKey{ID: request.Target, StartedAt: request.StartedAt}
		result.Done, result.RetryAfter = sidecar.permits.Take(key, request.PerSecond, request.MaxWait, now)
		result.Reason = ""
	}
	sidecar.send(from, result)
}

// subscriber is an entry that is subscribed to the target's state.
type subscriber struct {
	renewed          time.Time // when the entry last subscribed
	inventoryVersion uint64    // version of the inventory in the last full state sent, 0 to send it again
	fullSent         time.Time // when the last full state was sent
}

// subscribe adds or renews the subscription of an entry that knows the given
// version of the inventory. When that is not the version last sent, and the last
// full state was sent more than fullStateRetryDelay ago, the full state is due again.
func (sidecar *Sidecar) subscribe(from netip.AddrPort, inventoryVersion uint64, now time.Time) {
	known := sidecar.subscribers[from]
	if known == nil {
		known = &subscriber{}
		sidecar.subscribers[from] = known
	}
	known.renewed = now
	if inventoryVersion != known.inventoryVersion && now.Sub(known.fullSent) > fullStateRetryDelay {
		known.inventoryVersion = 0
	}
}

// handleCommand passes an entry's command to the controller, and refuses one
// that names another incarnation of the target or comes before the fence is known.
func (sidecar *Sidecar) handleCommand(from netip.AddrPort, command *wire.Command, now time.Time) {
	sender := from.String()
	if mayOrder := sidecar.mayOrder(); command.Target != sidecar.targetID || !mayOrder {
		reason := "the command is meant for another start of the target"
		if !mayOrder {
			reason = "the agent may not give orders yet"
		}
		sidecar.send(from, &wire.CommandResult{ID: command.ID, Reason: reason})
		return
	}
	deadline := now.Add(command.ValidFor)
	if command.Adapter != "" {
		sidecar.controller.RequestAdapter(command.ID, sender, command.Load, command.Adapter, deadline, now)
		return
	}
	accepted := sidecar.controller.AcceptPlan(orders.Plan{
		ID: command.ID, From: sender, Fence: command.Fence, Unload: command.Unload, Load: command.Load, StartBy: deadline,
	}, now)
	if accepted {
		sidecar.inventoryVersion++
		sidecar.log.Infof("planner with fence %d asks to load %q and unload %q", command.Fence, command.Load, command.Unload)
		sidecar.sendState()
	}
}

func (sidecar *Sidecar) send(to netip.AddrPort, message wire.Message) {
	sidecar.sendEach([]netip.AddrPort{to}, message)
}

// sendEach sends a message to each address.
func (sidecar *Sidecar) sendEach(addresses []netip.AddrPort, message wire.Message) {
	if remote := sidecar.options.Remote; remote != nil {
		remote.Send(addresses, message)
		return
	}
	if err := sidecar.socket.SendEach(addresses, message); err != nil {
		sidecar.options.Metrics.Add("datagrams.unsent", 1)
		sidecar.log.Debugf("datagram not sent: %v", err)
	}
}

// advance sends the command results that are due and gives the next order.
func (sidecar *Sidecar) advance(ctx context.Context) {
	for _, result := range sidecar.controller.TakeResults() {
		to, err := netip.ParseAddrPort(result.To)
		if err != nil {
			sidecar.log.Warnf("cannot parse the address %q of the sender of a command, its result is dropped: %v", result.To, err)
			continue
		}
		sidecar.send(to, &wire.CommandResult{ID: result.ID, Done: result.Done, Reason: result.Reason})
	}
	fence := sidecar.orderFence()
	if fence == 0 || sidecar.targetID == "" || sidecar.resting() {
		return
	}
	order, ok := sidecar.controller.NextOrder(sidecar.options.Clock.Now())
	if sidecar.reachable && !reflect.DeepEqual(sidecar.routableModels, sidecar.controller.RoutableModels()) {
		sidecar.inventoryVersion++ // a plan ended without its unloads
		sidecar.sendState()
	}
	if !ok {
		return
	}
	order.Target, order.Holder, order.Fence = sidecar.targetID, sidecar.options.Name, fence
	orderedAt := sidecar.options.Clock.Now()
	sidecar.orderedAt.Store(&orderedAt)
	go func() {
		outcome, err := sidecar.options.Engine.Order(ctx, order)
		sidecar.control.Post(func() { sidecar.handleOutcome(ctx, order, outcome, err) })
	}()
}

// handleOutcome handles the outcome of an order and asks for a new report.
func (sidecar *Sidecar) handleOutcome(ctx context.Context, order directory.Order, outcome directory.OrderOutcome, err error) {
	sidecar.options.Metrics.Add("orders."+outcome.String(), 1)
	if err != nil {
		sidecar.log.Warnf("an order failed, its outcome may be unknown: %v", err)
		sidecar.recordRest(err)
	}
	sidecar.log.Infof("order load %v model %q adapter %q at target %s, sequence %d fence %d: %s",
		order.Load, order.Model, order.Adapter, order.Target, order.Sequence, order.Fence, outcome)
	sidecar.controller.RecordOutcome(order, outcome, sidecar.options.Clock.Now())
	if sidecar.options.Remote != nil && order.Adapter != "" && (outcome == directory.OrderAccepted || outcome == directory.OrderAlreadyDone) {
		go sidecar.assumeDone(ctx, order)
	}
	sidecar.requestReport(ctx)
}

// resting reports whether the target has asked for no calls now.
func (sidecar *Sidecar) resting() bool {
	return sidecar.rest.Left(sidecar.options.Clock.Now()) > 0
}

// recordRest records the rest that a target has asked for with a failed call, if any.
func (sidecar *Sidecar) recordRest(err error) {
	var restError *directory.RestError
	if !errors.As(err, &restError) {
		return
	}
	sidecar.options.Metrics.Add("targets.rests", 1)
	sidecar.rest.Extend(sidecar.options.Clock.Now().Add(restError.Rest()))
}

// followConfiguration reads the configuration at the start, and again when
// entries announce a newer version. The store's version at the first valid
// configuration determines the fence of this agent's orders. Versions only rise, also
// when the store comes back from an older copy, so that a later process of the agent
// has no lower fence.
func (sidecar *Sidecar) followConfiguration(ctx context.Context) error {
	cursor := directory.Cursor(0)
	if sidecar.options.FirstStart {
		sidecar.sleep(ctx, firstStartDelay)
	}
	for ctx.Err() == nil {
		document, position, err := sidecar.options.Source.Configuration(ctx, cursor, configWatchTimeout)
		if err != nil {
			sidecar.options.Metrics.Add("catalogue.errors", 1)
			sidecar.sleep(ctx, configRetryDelay)
			continue
		}
		cursor = position
		if document == nil {
			continue // none has been written yet
		}
		cursor = 0
		parsed, err := sidecar.options.Source.ParseConfiguration(document)
		if err != nil {
			sidecar.log.Warnf("configuration cannot be parsed: %v", err)
			sidecar.sleep(ctx, configCheckInterval)
			continue
		}
		sidecar.control.Post(func() { sidecar.applyConfiguration(parsed, position) })
		if !sidecar.restoreTried && !sidecar.options.FirstStart {
			sidecar.restoreTried = true
			sidecar.restoreModels(ctx)
		}
		for ctx.Err() == nil {
			sidecar.sleep(ctx, configCheckInterval)
			newer := false
			sidecar.control.Do(func() { newer = sidecar.announcedVersion > parsed.Version() })
			if newer {
				break
			}
		}
	}
	return nil
}

// applyConfiguration puts a parsed configuration into use.
func (sidecar *Sidecar) applyConfiguration(parsed *directory.Directory, position directory.Cursor) {
	if sidecar.fence == 0 {
		sidecar.fence = orders.AgentFence(uint64(position))
		sidecar.inventoryVersion++
		sidecar.log.Infof("orders carry fence %d", sidecar.fence)
	}
	sidecar.configVersion = parsed.Version()
	if service := parsed.Service(sidecar.options.Service); service != nil {
		sidecar.controller.SetService(service)
	}
}

// sleep waits for the duration or until ctx ends.
func (sidecar *Sidecar) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-sidecar.options.Clock.After(duration):
	case <-ctx.Done():
	}
}

// pollTarget requests a report every reportInterval, and every urgentReportInterval
// while the controller needs one soon.
func (sidecar *Sidecar) pollTarget(ctx context.Context) error {
	for ctx.Err() == nil {
		interval := reportInterval
		sidecar.control.Do(func() {
			sidecar.recordPause()
			interval = sidecar.reportPause()
			sidecar.requestReport(ctx)
		})
		sidecar.sleep(ctx, interval)
	}
	return nil
}

// requestReport requests a report from the target unless a request is pending.
// After a restart of the target it also requests its new ID.
func (sidecar *Sidecar) requestReport(ctx context.Context) {
	if sidecar.reportPending || sidecar.resting() {
		return
	}
	sidecar.reportPending = true
	go func() {
		requestedAt := sidecar.options.Clock.Now()
		report, err := sidecar.options.Engine.Report(ctx)
		report.At = requestedAt
		id := ""
		if err == nil && report.StartedAt != sidecar.currentStartedAt() {
			id, err = sidecar.options.Engine.Identify(ctx)
		}
		sidecar.control.Post(func() {
			sidecar.reportPending = false
			sidecar.handleReport(report, id, err)
			sidecar.advance(ctx)
		})
	}()
}

// currentStartedAt returns targetStartedAt to callers outside the control loop.
func (sidecar *Sidecar) currentStartedAt() int64 {
	startedAt := int64(0)
	sidecar.control.Do(func() { startedAt = sidecar.targetStartedAt })
	return startedAt
}

// handleReport handles a report or the failure to get one. It sends the state to
// the entries at once if the target's models, loading adapters, orders or draining
// have changed or the target answers again, and otherwise every stateInterval, counted
// from when the reports were requested.
func (sidecar *Sidecar) handleReport(report directory.Report, id string, err error) {
	if err != nil {
		if sidecar.reachable {
			sidecar.log.Warnf("lost the target: %v", err)
		}
		sidecar.recordRest(err)
		sidecar.reachable = false
		sidecar.controller.ReportsLost()
		if sidecar.unusable = errors.Is(err, directory.ErrAnswered); sidecar.unusable {
			sidecar.options.Metrics.Add("reports.unusable", 1)
		} else {
			sidecar.sendUnreachable()
		}
		return
	}
	if id != "" {
		sidecar.log.Infof("target is %s, started at Unix ms %d", id, report.StartedAt)
		sidecar.targetID, sidecar.targetStartedAt = id, report.StartedAt
		sidecar.prompts = prompt.New()
		defer sidecar.queueRestore() // after the controller has the report
	}
	if !sidecar.reachable {
		sidecar.log.Infof("regained the target")
	}
	if report.Limited != sidecar.report.Limited || report.Limit != sidecar.report.Limit {
		sidecar.log.Infof("target %s names a limit with its report: %v, of %v requests a second", sidecar.targetID, report.Limited, report.Limit)
	}
	changed := !sidecar.reachable || report.Busy != sidecar.report.Busy || report.Draining != sidecar.report.Draining ||
		report.Sequence != sidecar.report.Sequence || !reflect.DeepEqual(report.Models, sidecar.report.Models) ||
		!slices.Equal(report.LoadingAdapters, sidecar.report.LoadingAdapters)
	sidecar.unusable = false
	mayOrder := sidecar.mayOrder()
	changed = changed || mayOrder != sidecar.heldOrders
	sidecar.report, sidecar.reachable, sidecar.heldOrders = report, true, mayOrder
	sidecar.controller.SetReport(report)
	sidecar.prompts.SetReport(report, sidecar.options.Clock.Now())
	if changed {
		sidecar.inventoryVersion++
	}
	if changed || !report.At.Before(sidecar.nextState) {
		sidecar.sendState()
	}
	if !report.At.Before(sidecar.nextLoadLine) {
		sidecar.nextLoadLine = report.At.Add(loadLineInterval)
		sidecar.log.Infof("load of target %s: %d running, %d queued, %d starting, %d of %d tokens of KV cache, models %q",
			sidecar.targetID, report.Running, report.Queued, report.Starting, report.UsedKV, report.TotalKV, modelNames(report.Models))
	}
}

// stateTolerance is how much earlier than stateInterval a report may have been requested
// that is sent, so that an early timer does not postpone it to the next report.
const stateTolerance = reportInterval / 4

// modelNames returns the names of the models.
func modelNames(models []directory.ResidentModel) []string {
	names := make([]string, 0, len(models))
	for _, model := range models {
		names = append(names, model.Model)
	}
	return names
}
