package entry

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"endiverill.example/kernel/config"
	"endiverill.example/kernel/lease"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/placement"
	"endiverill.example/kernel/wire"
)

// planner makes the placement plan while this entry holds the planner's lease.
type planner struct {
	entry    *Entry
	log      *logs.Logger
	policy   placement.Policy
	mu       sync.Mutex
	lease    *lease.Lease // guarded by mu
	wanted   map[string]time.Time
	forecast *placement.Forecast
	demand   map[string]float64 // places that each model needs, in this round
	plan     *placement.Plan
	seen     map[string]*seenAgent
	credit   float64 // loads that may start now
	credited time.Time
	fence    uint64
	placed   map[string][]string // targets by model, guarded by mu
	demands  map[string]float64  // places by model, guarded by mu
}

// seenAgent is what the planner last heard of a target's agent.
type seenAgent struct {
	at          time.Time
	incarnation uint64
	applied     uint64
	ready       []string
	slots       int
	offered     map[string]uint64
	live        bool
}

func newPlanner(entry *Entry) (*planner, error) {
	policy, err := placement.NewPolicy(entry.Values().String("placement.plugin"))
	if err != nil {
		return nil, err
	}
	return &planner{
		entry: entry, log: entry.Log("placement"), policy: policy, wanted: map[string]time.Time{},
		forecast: placement.NewForecast(), seen: map[string]*seenAgent{},
	}, nil
}

const plannerDrift = 0.001

// run takes part in the election and plans while the lease holds.
func (planner *planner) run(ctx context.Context) error {
	values := planner.entry.Values()
	planner.mu.Lock()
	planner.lease = lease.New(lease.Params{
		Holder:   planner.entry.peerAddress + "/" + strconv.FormatUint(planner.entry.Incarnation(), 36),
		Duration: values.Duration("placement.lease"), Drift: plannerDrift,
	})
	planner.mu.Unlock()
	for ctx.Err() == nil {
		planner.tickLease(ctx)
		if planner.holds() {
			planner.round(ctx)
		}
		planner.entry.pause(ctx, values.Duration("placement.period"))
	}
	return nil
}

func (planner *planner) driver() lease.Driver {
	return lease.Driver{
		Store: planner.entry.Store(), Key: placement.PlannerKey(planner.entry.Values().String("site")),
		Timeout: planner.entry.limits.storeTimeout, WithLease: planner.withLease,
	}
}

func (planner *planner) withLease(step func(held *lease.Lease, now time.Time) []lease.Effect) []lease.Effect {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	if planner.lease == nil {
		return nil
	}
	return step(planner.lease, planner.entry.Clock().Now())
}

func (planner *planner) tickLease(ctx context.Context) {
	effects := planner.withLease(func(held *lease.Lease, now time.Time) []lease.Effect { return held.Tick(now) })
	planner.driver().Execute(ctx, effects)
}

// release lets another entry plan without a wait for the lease's end.
func (planner *planner) release(ctx context.Context) {
	effects := planner.withLease(func(held *lease.Lease, now time.Time) []lease.Effect { return held.Release(now) })
	planner.driver().Execute(ctx, effects)
}

// address returns where the entry that plans listens to its peers.
func (planner *planner) address() string {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	if planner.lease == nil {
		return ""
	}
	address, _, _ := strings.Cut(planner.lease.Record().Holder(), "/")
	return address
}

// holds says whether this entry plans; a new term starts from the stored plan.
func (planner *planner) holds() bool {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	fence, held := planner.lease.Held(planner.entry.Clock().Now())
	if held && fence != planner.fence {
		planner.fence, planner.plan = fence, nil
		planner.log.Infof("plans under fence %d", fence)
	}
	return held
}

// round looks at every target, makes the next plan and sends it out.
func (planner *planner) round(ctx context.Context) {
	document := planner.entry.Follower().Document()
	if document == nil || !planner.ready(ctx) {
		return
	}
	planner.demand = map[string]float64{}
	planner.look(ctx, document)
	input := planner.input(document)
	next := placement.Next(planner.policy, input)
	if !next.Equal(planner.plan) && planner.holds() {
		planner.write(ctx, next)
	}
	planner.publish(input)
	planner.send(ctx, document)
}

// ready reads the stored plan at the start of a term and after a lost race.
func (planner *planner) ready(ctx context.Context) bool {
	if planner.plan != nil {
		return true
	}
	plan, err := placement.ReadPlan(ctx, planner.entry.Store(), planner.entry.limits.storeTimeout, planner.entry.Values().String("site"))
	if err != nil {
		planner.log.Warnf("the stored plan cannot be read: %v", err)
		return false
	}
	planner.plan = plan
	return true
}

func (planner *planner) write(ctx context.Context, next *placement.Plan) {
	data, err := next.Marshal()
	if err != nil {
		planner.log.Warnf("the plan cannot be encoded: %v", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, planner.entry.limits.storeTimeout)
	defer cancel()
	version, err := planner.entry.Store().Update(ctx, "placement", placement.Key(planner.entry.Values().String("site")), data, planner.plan.Version())
	if err != nil {
		// Another planner came first, or the answer is lost: read before the next.
		planner.plan = nil
		return
	}
	planner.spend(next)
	planner.entry.Metrics().Add("placement.plans", 1)
	planner.plan = next.WithVersion(version)
}

// spend takes the loads that a plan starts out of the credit.
func (planner *planner) spend(next *placement.Plan) {
	for _, target := range next.Targets() {
		for _, model := range next.Models(target) {
			seen := planner.seen[target]
			if !planner.plan.Has(target, model) && (seen == nil || !slices.Contains(seen.ready, model)) {
				planner.credit--
			}
		}
	}
}

// look asks every engine's agent for its detailed load.
func (planner *planner) look(ctx context.Context, document *config.Document) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var group sync.WaitGroup
	places := make(chan struct{}, statusInFlight)
	loads := make([]*wire.Load, len(document.Targets()))
	for index, target := range document.Targets() {
		if target.Kind() != config.Engine {
			continue
		}
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			load := &wire.Load{}
			planner.entry.Metrics().Add("placement.asks", 1)
			size, err := planner.entry.Links().InvokeSized(ctx, target.Agent(), wire.CallStatus, &wire.StatusRequest{Detail: true}, load)
			planner.entry.Metrics().Add("planner.bytes", int64(size))
			if err == nil {
				loads[index] = load
			}
		})
	}
	group.Wait()
	for index, target := range document.Targets() {
		planner.take(target.Name(), loads[index])
	}
}

func (planner *planner) take(target string, load *wire.Load) {
	now := planner.entry.Clock().Now()
	seen := planner.seen[target]
	if seen == nil {
		seen = &seenAgent{at: now}
		planner.seen[target] = seen
	}
	if load == nil || load.Target != target {
		seen.live = now.Sub(seen.at) < targetSilence && seen.live
		seen.applied = 0
		return
	}
	offered := map[string]uint64{}
	for _, count := range load.Offered {
		offered[count.Model] = count.Work
	}
	if seen.incarnation != load.Incarnation {
		seen.offered = nil
	}
	planner.observe(seen, offered, now)
	slices.Sort(load.Resident)
	seen.at, seen.incarnation, seen.applied, seen.ready = now, load.Incarnation, load.Applied, load.Resident
	seen.offered, seen.slots = offered, load.Slots
	seen.live = !load.Leaving
}

// targetSilence is how long a target may be silent before its models are placed
// elsewhere.
const targetSilence = 3 * time.Second

// observe adds the work offered since the last look to the round's demand.
func (planner *planner) observe(seen *seenAgent, offered map[string]uint64, now time.Time) {
	elapsed := now.Sub(seen.at).Seconds()
	if seen.offered == nil || elapsed <= 0 {
		return
	}
	for model, work := range offered {
		busy := time.Duration(work-min(seen.offered[model], work)) * time.Millisecond
		planner.demand[model] += busy.Seconds() / elapsed
	}
}
