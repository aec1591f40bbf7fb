// Package measure runs the real entries and agents against stand-ins at the
// sizes of the users' deployments and sums up what the users measure.
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

// Policy is a set of plug-ins that is measured.
type Policy struct {
	name      string
	placement string
	routing   string
	quota     string
}

// Name returns the policy's name.
func (policy Policy) Name() string { return policy.name }

// Policies returns ours and the baselines.
func Policies() []Policy {
	return []Policy{
		{"ours", "adaptive", "affinity", "shares"},
		{"static", "static", "least-loaded", "fixed"},
		{"static-random", "static", "random", "fixed"},
		{"on-demand", "on-demand", "round-robin", "fixed"},
	}
}

// Options choose what is measured.
type Options struct {
	Duration time.Duration
	Seed     uint64
	Demand   float64 // factor on the deployment's demand
	Engines  float64 // factor on the deployment's number of engines
	Faults   []Fault
	LogLevel string
	Skew     float64 // part of the requests that go to the first entry
	Headroom float64 // of customers' rates over their mean use, 0 for the default
}

// Result is one row of the measurement.
type Result struct {
	deployment  string
	policy      string
	seed        uint64
	report      *load.Report
	engines     int
	moves       int64
	doubled     int
	falseNotRun int
	config      time.Duration
	withdrawn   time.Duration
	idle        idle
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
	overspend, wrongful := result.report.RateLimitErrors()
	return json.Marshal(wireResult{
		Deployment: result.deployment, Policy: result.policy, Seed: result.seed, Requests: result.report.Requests(),
		Attainment: all, PerAccel: float64(result.report.WithinSLO()) / float64(result.engines), Moves: result.moves, Worst: worst,
		Wrongful: wrongful, Overspend: overspend, Doubled: result.doubled, FalseNotRun: result.falseNotRun, Cut: result.report.Cut(),
		ConfigSeconds: result.config.Seconds(), KeySeconds: result.withdrawn.Seconds(),
		Bytes: result.idle.bytes, CPU: result.idle.cpu, Memory: result.idle.memory, Writes: result.idle.writes, Reads: result.idle.reads,
		FirstP50: result.report.FirstToken(50).Seconds(), FirstP95: result.report.FirstToken(95).Seconds(), Codes: result.report.Codes(),
	})
}

// Columns are the figures of a row in a Markdown table.
func (result *Result) Columns() []string {
	all, worst := result.report.Attainment()
	overspend, wrongful := result.report.RateLimitErrors()
	return []string{
		result.deployment, result.policy, fmt.Sprint(result.seed), fmt.Sprint(result.report.Requests()),
		fmt.Sprintf("%.3f", all), fmt.Sprintf("%.1f", float64(result.report.WithinSLO())/float64(result.engines)), fmt.Sprint(result.moves),
		fmt.Sprintf("%.3f", worst), fmt.Sprintf("%.4f", wrongful), fmt.Sprintf("%.0f", overspend), fmt.Sprint(result.doubled),
		fmt.Sprint(result.falseNotRun), fmt.Sprint(result.report.Cut()), fmt.Sprintf("%.2f", result.config.Seconds()), fmt.Sprintf("%.2f", result.withdrawn.Seconds()),
	}
}

// Headings are the names of Columns.
func Headings() []string {
	return []string{
		"deployment", "policy", "seed", "requests", "attainment", "inside per accelerator", "model moves", "worst customer",
		"wrongful refusals", "overspend", "doubled", "false not run", "cut", "config in force, s", "key withdrawn, s",
	}
}

// Run measures one policy on one deployment.
func Run(ctx context.Context, name string, policy Policy, options Options) (*Result, error) {
	size, known := sizes[name]
	if !known {
		return nil, errors.Newf("deployment %q is unknown; known are chaoprayaa, nadi", name)
	}
	spec := size.spec(policy, options)
	running, err := deployment.Start(spec)
	if err != nil {
		return nil, err
	}
	defer running.Close()
	result := &Result{deployment: name, policy: policy.name, seed: options.Seed, engines: len(spec.Engines)}
	result.idle = watchIdle(running)
	var side sync.WaitGroup
	side.Go(func() { result.watchChanges(running, options.Duration) })
	go inject(ctx, running, options.Faults)
	result.report = load.Run(ctx, size.plan(spec, running, options))
	side.Wait()
	result.moves = moves(running, spec)
	for index := range spec.Services {
		_, doubled := running.Service(fmt.Sprintf("%s-%d", spec.Services[index], index+1)).Total()
		result.doubled += doubled
	}
	result.falseNotRun = result.report.FalseNotRun(func(id string) int {
		runs := 0
		for index := range spec.Services {
			runs += running.Service(fmt.Sprintf("%s-%d", spec.Services[index], index+1)).Runs(id)
		}
		return runs
	})
	return result, nil
}

func moves(running *deployment.Deployment, spec deployment.Spec) int64 {
	total := int64(0)
	for _, engine := range spec.Engines {
		total += running.Agent(engine.Name).Metrics().Get("moves")
	}
	return total
}

// idle is what control costs an instance while no request is under way. The
// processor and memory figures include the stand-ins and are upper bounds.
type idle struct {
	bytes, cpu, memory, writes, reads float64
}

const idleTime = 1500 * time.Millisecond

func watchIdle(running *deployment.Deployment) idle {
	instances := float64(running.Instances())
	bytesBefore, cpuBefore, callsBefore := running.ControlBytes(), processorTime(), running.Store().Counts()
	time.Sleep(idleTime)
	callsAfter := running.Store().Counts()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	seconds := idleTime.Seconds()
	return idle{
		bytes:  float64(running.ControlBytes()-bytesBefore) / seconds / instances,
		cpu:    100 * (processorTime() - cpuBefore).Seconds() / seconds / instances,
		memory: float64(memory.HeapInuse+memory.StackInuse) / (1 << 20) / instances,
		writes: float64(callsAfter.Writes-callsBefore.Writes) / seconds,
		reads:  float64(callsAfter.Reads-callsBefore.Reads) / seconds,
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// notMeasured stands for a change that the object API did not accept.
const notMeasured = -time.Second

// watchChanges applies a configuration and withdraws a key in mid-run, and
// takes how long each needs to be in force on every instance.
func (result *Result) watchChanges(running *deployment.Deployment, duration time.Duration) {
	time.Sleep(duration / 3)
	result.config = timeChange(running, duration, func() (uint64, error) {
		return running.AddKey("spare", "spare-key-of-the-measurement")
	})
	time.Sleep(duration / 6)
	result.withdrawn = timeChange(running, duration, func() (uint64, error) { return running.WithdrawKey("spare") })
}

func timeChange(running *deployment.Deployment, limit time.Duration, change func() (uint64, error)) time.Duration {
	begun := time.Now()
	generation, err := change()
	if err != nil || running.WaitGeneration(generation, limit) != nil {
		return notMeasured
	}
	return time.Since(begun)
}
