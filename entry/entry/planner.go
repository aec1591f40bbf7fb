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
	"endiverill.example/kernel/retry"
	"endiverill.example/kernel/wire"
)

// planner makes the placement plan while this entry holds the planner's lease. In
// each round it polls the agents, lets the placement policy compute the next plan,
// stores the plan and sends it to the agents.
type planner struct {
	entry          *Entry
	log            *logs.Logger
	policy         placement.Policy
	mu             sync.Mutex
	lease          *lease.Lease         // guarded by mu
	acquired       chan struct{}        // starts a round when the lease was acquired
	reserve        *retry.Reserve       // of retries, for all entries
	requestedAt    map[string]time.Time // last request that found no target, by model; guarded by mu
	forecast       *placement.Forecast
	roundDemand    map[string]float64 // in request slots, by model
	plan           *placement.Plan    // nil while the stored plan has yet to be read
	agents         map[string]*agentState
	loadCredit     float64 // loads that may start now, limited by the rate of loads
	creditedAt     time.Time
	fence          uint64
	targetsByModel map[string][]string // guarded by mu
	demandByModel  map[string]float64  // in request slots, guarded by mu
}

// agentState is the last load report of a target's agent.
type agentState struct {
	seenAt         time.Time
	silentSince    time.Time // when the first question without an answer after seenAt was asked, zero if there is none
	incarnation    uint64
	appliedVersion uint64 // of the plan that the agent has applied, 0 if unknown
	loadedModels   []string
	slots          int               // requests that the target runs at once
	offeredWork    map[string]uint64 // ms of slot time by model, counted since the start of the agent
	live           bool              // models may be placed on the target
}

func newPlanner(entry *Entry) (*planner, error) {
	policy, err := placement.NewPolicy(entry.Values().String("placement.plugin"))
	if err != nil {
		return nil, err
	}
	return &planner{
		entry: entry, log: entry.Log("placement"), policy: policy, requestedAt: map[string]time.Time{}, acquired: make(chan struct{}, 1),
		forecast: placement.NewForecast(), agents: map[string]*agentState{}, reserve: retry.NewReserve(retryLimits(entry.Values())),
	}, nil
}

const leaseClockDrift = 0.001 // upper bound on the relative difference between the speeds of two clocks

// run competes for the planner's lease and runs a planning round per period while
// it holds the lease.
func (planner *planner) run(ctx context.Context) error {
	values := planner.entry.Values()
	planner.mu.Lock()
	planner.lease = lease.New(lease.Params{
		Holder:   planner.entry.peerAddress + "/" + strconv.FormatUint(planner.entry.Incarnation(), 36),
		Duration: values.Duration("placement.lease"), Drift: leaseClockDrift,
	})
	planner.mu.Unlock()
	var calls sync.WaitGroup // for the lease
	defer calls.Wait()
	for ctx.Err() == nil {
		planner.stepLease(ctx, &calls)
		if planner.takeUp() {
			planner.runRound(ctx)
		}
		select {
		case <-planner.entry.Clock().After(values.Duration("placement.period")):
		case <-planner.acquired:
		case <-ctx.Done():
		}
	}
	return nil
}

func (planner *planner) leaseDriver() lease.Driver {
	return lease.Driver{
		Store: planner.entry.Store(), Key: placement.PlannerKey(planner.entry.Values().String("site")),
		Timeout: planner.entry.limits.storeTimeout, WithLease: planner.withLease,
	}
}

func (planner *planner) withLease(step func(current *lease.Lease, now time.Time) []lease.Effect) []lease.Effect {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	if planner.lease == nil {
		return nil
	}
	return step(planner.lease, planner.entry.Clock().Now())
}

// stepLease begins to acquire or renew the lease when that is due. Rounds do not wait for it, as the
// object API may not answer while the lease still lasts; one starts at once when the lease was acquired.
func (planner *planner) stepLease(ctx context.Context, calls *sync.WaitGroup) {
	effects := planner.withLease(func(current *lease.Lease, now time.Time) []lease.Effect { return current.Tick(now) })
	if len(effects) == 0 {
		return
	}
	before, _ := planner.heldFence()
	calls.Go(func() {
		planner.leaseDriver().Execute(ctx, effects)
		if fence, held := planner.heldFence(); !held || fence == before {
			return
		}
		select {
		case planner.acquired <- struct{}{}:
		default: // a round is due already
		}
	})
}

// heldFence returns the fence of the lease, and whether the lease is certain to be held now.
func (planner *planner) heldFence() (fence uint64, held bool) {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	return planner.lease.Held(planner.entry.Clock().Now())
}

// release gives up the lease, so that another entry can plan before it expires. It returns once the
// object API has taken this, or ctx ends; run tries again meanwhile.
func (planner *planner) release(ctx context.Context) {
	effects := planner.withLease(func(current *lease.Lease, now time.Time) []lease.Effect { return current.Release(now) })
	planner.leaseDriver().Execute(ctx, effects)
	for !planner.leaseGivenUp() && ctx.Err() == nil {
		planner.entry.sleep(ctx, drainPollInterval)
	}
}

func (planner *planner) leaseGivenUp() bool {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	return planner.lease == nil || planner.lease.GivenUp()
}

// address returns the peer address of the entry that is the planner, empty if
// unknown.
func (planner *planner) address() string {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	if planner.lease == nil {
		return ""
	}
	address, _, _ := strings.Cut(planner.lease.Record().Holder(), "/")
	return address
}

// takeUp reports whether this entry is the planner. When it has acquired the
// lease anew, it discards its plan, so that the next round reads the stored one, and opens
// the reserve of retries.
func (planner *planner) takeUp() bool {
	fence, held := planner.heldFence()
	if held && fence != planner.fence {
		planner.fence, planner.plan = fence, nil
		planner.reserve.Open(fence, planner.entry.Clock().Now())
		planner.log.Infof("acquired the planner's lease with fence %d", fence)
	}
	return held
}

// mayWrite reports whether this entry has been the planner since the round began: the lease may be
// lost and acquired again meanwhile, and others may have planned in between.
func (planner *planner) mayWrite() bool {
	fence, held := planner.heldFence()
	return held && fence == planner.fence
}

// runRound polls the agents, makes the next plan, stores it if it has changed, and
// sends it to the agents.
func (planner *planner) runRound(ctx context.Context) {
	document := planner.entry.Follower().Document()
	if document == nil || !planner.readPlan(ctx) {
		return
	}
	planner.roundDemand = map[string]float64{}
	planner.pollAgents(ctx, document)
	input := planner.policyInput(document)
	next := placement.Next(planner.policy, input)
	if !next.Equal(planner.plan) && planner.mayWrite() {
		planner.writePlan(ctx, next)
	}
	planner.publishExplanations(input)
	planner.sendPlan(ctx, document)
}

// readPlan reads the stored plan after the lease was acquired and after a failed
// write. It reports whether a plan is known.
func (planner *planner) readPlan(ctx context.Context) bool {
	if planner.plan != nil {
		return true
	}
	plan, err := placement.ReadPlan(ctx, planner.entry.Store(), planner.entry.limits.storeTimeout, planner.entry.Values().String("site"))
	if err != nil {
		planner.log.Warnf("failed to read the stored plan: %v", err)
		return false
	}
	planner.plan = plan
	return true
}

func (planner *planner) writePlan(ctx context.Context, next *placement.Plan) {
	data, err := next.Marshal()
	if err != nil {
		planner.log.Warnf("failed to encode the plan: %v", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, planner.entry.limits.storeTimeout)
	defer cancel()
	version, err := planner.entry.Store().Update(ctx, "placement", placement.Key(planner.entry.Values().String("site")), data, planner.plan.Version())
	if err != nil {
		// Another planner wrote first, or the response was lost: read the stored plan
		// before the next write.
		planner.plan = nil
		return
	}
	planner.spendCredit(next)
	planner.entry.Metrics().Add("placement.plans", 1)
	planner.plan = next.WithVersion(version)
}

// spendCredit reduces the load credit by one for each model load that a plan starts.
func (planner *planner) spendCredit(next *placement.Plan) {
	for _, target := range next.Targets() {
		for _, model := range next.Models(target) {
			agent := planner.agents[target]
			if !planner.plan.Has(target, model) && (agent == nil || !slices.Contains(agent.loadedModels, model)) {
				planner.loadCredit--
			}
		}
	}
}

// pollAgents queries the detailed load of every engine from its agent.
func (planner *planner) pollAgents(ctx context.Context, document *config.Document) {
	askedAt := planner.entry.Clock().Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	loads := make([]*wire.Load, len(document.Targets()))
	for index, target := range document.Targets() {
		if target.Kind() != config.Engine {
			continue
		}
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
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
		planner.recordAgentLoad(target.Name(), loads[index], askedAt)
	}
}

// recordAgentLoad records the answer of an agent to a question asked at askedAt, nil if there was none.
func (planner *planner) recordAgentLoad(target string, load *wire.Load, askedAt time.Time) {
	now := planner.entry.Clock().Now()
	agent := planner.agents[target]
	if agent == nil {
		agent = &agentState{seenAt: now}
		planner.agents[target] = agent
	}
	if load == nil || load.Target != target {
		if agent.silentSince.IsZero() {
			agent.silentSince = askedAt
		}
		agent.live = now.Sub(agent.silentSince) < maxAgentSilence && agent.live
		agent.appliedVersion = 0
		return
	}
	agent.silentSince = time.Time{}
	offeredWork := map[string]uint64{}
	for _, modelWork := range load.Offered {
		offeredWork[modelWork.Model] = modelWork.Work
	}
	if agent.incarnation != load.Incarnation {
		agent.offeredWork = nil
	}
	planner.addDemand(agent, offeredWork, now)
	slices.Sort(load.Resident)
	agent.seenAt, agent.incarnation, agent.appliedVersion, agent.loadedModels = now, load.Incarnation, load.PlanVersion, load.Resident
	agent.offeredWork, agent.slots = offeredWork, load.Slots
	agent.live = !load.Leaving
}

// maxAgentSilence is how long an agent may fail to answer before the models of its
// target are placed elsewhere. A time in which nobody asked does not count.
const maxAgentSilence = 3 * time.Second

// addDemand adds the work that an agent was offered since its last report to the
// demand of this round, as a number of busy request slots.
func (planner *planner) addDemand(agent *agentState, offeredWork map[string]uint64, now time.Time) {
	elapsed := now.Sub(agent.seenAt).Seconds()
	if agent.offeredWork == nil || elapsed <= 0 {
		return
	}
	for model, work := range offeredWork {
		added := time.Duration(work-min(agent.offeredWork[model], work)) * time.Millisecond
		planner.roundDemand[model] += added.Seconds() / elapsed
	}
}
