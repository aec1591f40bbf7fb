// Package measure compares policies under load. From the name of a scenario, a policy
// and options it determines the deployment and the workload, injects faults and
// changes the configuration during the run, and reports the figures by which the users
// measure the system, such as service level attainment, model moves, rate limit errors,
// doubled runs, the delays of configuration changes and control cost. Capacity measures
// the control cost alone, of an idle deployment of a given size. Package deployment runs
// the instances and stand-ins, package load sends the requests and checks the responses.
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/endiverill/internal/load"
)

// Policy is a combination of placement, routing and quota plug-ins.
type Policy struct {
	name      string
	placement string
	routing   string
	quota     string
}

// Name returns the name under which results are reported.
func (policy Policy) Name() string { return policy.name }

// Policies returns the default policy, named ours, followed by the baselines.
func Policies() []Policy {
	return []Policy{
		{"ours", "adaptive", "affinity", "shares"},
		{"static", "static", "least-loaded", "fixed"},
		{"static-random", "static", "random", "fixed"},
		{"on-demand", "on-demand", "round-robin", "fixed"},
	}
}

// Options are the parameters of a run.
type Options struct {
	Duration           time.Duration // of the load
	Seed               uint64
	Demand             float64 // factor on the deployment's demand
	Engines            float64 // factor on the deployment's number of engines
	Faults             []Fault
	LogLevel           string
	FirstEntryFraction float64 // fraction of requests that always go to the first entry
	RateHeadroom       float64 // ratio of a customer's rate limit to its mean use; 0 selects the default
}

// Result holds the figures of one run.
type Result struct {
	deployment      string
	policy          string
	seed            uint64
	report          *load.Report
	engines         int
	moves           int64         // see modelMoves
	doubledRuns     int           // non-idempotent requests that ran more than once
	falseNotRun     int           // non-idempotent requests that were reported as not run although they ran
	configDelay     time.Duration // until an added key is in force everywhere, or notMeasured
	withdrawalDelay time.Duration // until the withdrawal of the key is in force everywhere, or notMeasured
	idle            idleCost
}

type wireResult struct {
	Deployment    string         `json:"deployment"`
	Policy        string         `json:"policy"`
	Seed          uint64         `json:"seed"`
	Requests      int            `json:"requests"`
	Attainment    float64        `json:"attainment"`
	PerAccel      float64        `json:"attainment_per_accelerator"`
	Moves         int64          `json:"model_moves"`
	Worst         float64        `json:"worst_customer_attainment"`
	Wrongful      float64        `json:"wrongful_refusal_rate"`
	Overspend     float64        `json:"overspend_tokens"`
	Doubled       int            `json:"doubled_runs"`
	FalseNotRun   int            `json:"false_not_run"`
	Cut           int            `json:"cut_requests"`
	ConfigSeconds float64        `json:"config_in_force_seconds_max"`
	KeySeconds    float64        `json:"key_withdrawn_seconds_max"`
	Bytes         float64        `json:"control_bytes_per_second"`
	CPU           float64        `json:"control_cpu_percent"`
	Memory        float64        `json:"memory_mb"`
	Writes        float64        `json:"store_writes_per_second"`
	Reads         float64        `json:"store_reads_per_second"`
	FirstP50      float64        `json:"first_token_seconds_p50"`
	FirstP95      float64        `json:"first_token_seconds_p95"`
	Codes         map[string]int `json:"codes"`
}

// JSON returns the result as one object.
func (result *Result) JSON() ([]byte, error) {
	all, worst := result.report.Attainment()
	overspend, wrongfulRate := result.report.RateLimitErrors()
	return json.Marshal(wireResult{
		Deployment: result.deployment, Policy: result.policy, Seed: result.seed, Requests: result.report.Requests(),
		Attainment: all, PerAccel: float64(result.report.WithinSLO()) / float64(result.engines), Moves: result.moves, Worst: worst,
		Wrongful: wrongfulRate, Overspend: overspend, Doubled: result.doubledRuns, FalseNotRun: result.falseNotRun, Cut: result.report.Cut(),
		ConfigSeconds: result.configDelay.Seconds(), KeySeconds: result.withdrawalDelay.Seconds(),
		Bytes: result.idle.bytes, CPU: result.idle.cpu, Memory: result.idle.memory, Writes: result.idle.writes, Reads: result.idle.reads,
		FirstP50: result.report.FirstToken(50).Seconds(), FirstP95: result.report.FirstToken(95).Seconds(), Codes: result.report.Codes(),
	})
}

// Columns returns the figures as cells of a Markdown table, in the order of Headings.
func (result *Result) Columns() []string {
	all, worst := result.report.Attainment()
	overspend, wrongfulRate := result.report.RateLimitErrors()
	return []string{
		result.deployment, result.policy, fmt.Sprint(result.seed), fmt.Sprint(result.report.Requests()),
		fmt.Sprintf("%.3f", all), fmt.Sprintf("%.1f", float64(result.report.WithinSLO())/float64(result.engines)), fmt.Sprint(result.moves),
		fmt.Sprintf("%.3f", worst), fmt.Sprintf("%.4f", wrongfulRate), fmt.Sprintf("%.0f", overspend), fmt.Sprint(result.doubledRuns),
		fmt.Sprint(result.falseNotRun), fmt.Sprint(result.report.Cut()), fmt.Sprintf("%.2f", result.configDelay.Seconds()), fmt.Sprintf("%.2f", result.withdrawalDelay.Seconds()),
	}
}

// Headings returns the column names for Columns.
func Headings() []string {
	return []string{
		"deployment", "policy", "seed", "requests", "attainment", "inside per accelerator", "model moves", "worst customer",
		"wrongful refusals", "overspend", "doubled", "false not run", "cut", "config in force, s", "key withdrawn, s",
	}
}

// Run measures one policy on the deployment of the scenario called name. It fails if
// there is no such scenario or the deployment does not start.
func Run(ctx context.Context, name string, policy Policy, options Options) (*Result, error) {
	scenario, known := scenarios[name]
	if !known {
		return nil, errors.Newf("unknown deployment %q; expected chaoprayaa or nadi", name)
	}
	spec := scenario.deploymentSpec(policy, options)
	running, err := deployment.Start(spec)
	if err != nil {
		return nil, err
	}
	defer running.Close()
	result := &Result{deployment: name, policy: policy.name, seed: options.Seed, engines: len(spec.Engines)}
	result.idle = measureIdleCost(running)
	var background sync.WaitGroup
	background.Go(func() { result.measureConfigChanges(running, options.Duration) })
	go inject(ctx, running, options.Faults)
	result.report = load.Run(ctx, scenario.workload(spec, running, options))
	background.Wait()
	result.moves = modelMoves(running, spec)
	for index := range spec.Services {
		_, doubledRuns := running.Service(fmt.Sprintf("%s-%d", spec.Services[index], index+1)).RunTotals()
		result.doubledRuns += doubledRuns
	}
	result.falseNotRun = result.report.FalseNotRun(func(requestID string) int {
		runs := 0
		for index := range spec.Services {
			runs += running.Service(fmt.Sprintf("%s-%d", spec.Services[index], index+1)).Runs(requestID)
		}
		return runs
	})
	return result, nil
}

// modelMoves returns how many model loads the agents have ordered from their engines.
// Loads of adapters don't count, nor do those that an agent ordered before a restart.
func modelMoves(running *deployment.Deployment, spec deployment.Spec) int64 {
	total := int64(0)
	for _, engine := range spec.Engines {
		total += running.Agent(engine.Name).Metrics().Get("moves")
	}
	return total
}

// idleCost is the control cost while there are no requests. The fields bytes (control
// bytes per second), cpu (percent of a core) and memory (MiB) are means per instance;
// cpu and memory include the stand-ins and are therefore upper bounds. The fields writes
// and reads count the calls of the object API per second by the whole deployment.
type idleCost struct {
	bytes, cpu, memory, writes, reads float64
}

const idleWindow = 1500 * time.Millisecond

func measureIdleCost(running *deployment.Deployment) idleCost {
	instances := float64(running.InstanceCount())
	bytesBefore, cpuBefore, storeCallsBefore := running.ControlBytes(), cpuTime(), running.Store().Counts()
	time.Sleep(idleWindow)
	storeCallsAfter := running.Store().Counts()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	seconds := idleWindow.Seconds()
	return idleCost{
		bytes:  float64(running.ControlBytes()-bytesBefore) / seconds / instances,
		cpu:    100 * (cpuTime() - cpuBefore).Seconds() / seconds / instances,
		memory: float64(memory.HeapInuse+memory.StackInuse) / (1 << 20) / instances,
		writes: float64(storeCallsAfter.Writes-storeCallsBefore.Writes) / seconds,
		reads:  float64(storeCallsAfter.Reads-storeCallsBefore.Reads) / seconds,
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// notMeasured stands for a change that was not accepted or not in force everywhere
// within the time limit.
const notMeasured = -time.Second

// measureConfigChanges adds and withdraws a key during the run and records how
// long each change takes to be in force on every instance.
func (result *Result) measureConfigChanges(running *deployment.Deployment, duration time.Duration) {
	time.Sleep(duration / 3)
	result.configDelay = measureChange(running, duration, func() (uint64, error) {
		return running.AddKey("spare", "spare-key-of-the-measurement")
	})
	time.Sleep(duration / 6)
	result.withdrawalDelay = measureChange(running, duration, func() (uint64, error) { return running.WithdrawKey("spare") })
}

// measureChange returns the time from a change until it is in force on every
// instance, or notMeasured.
func measureChange(running *deployment.Deployment, timeout time.Duration, change func() (uint64, error)) time.Duration {
	start := time.Now()
	generation, err := change()
	if err != nil || running.WaitGeneration(generation, timeout) != nil {
		return notMeasured
	}
	return time.Since(start)
}
