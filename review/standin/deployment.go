package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const restartDelay = 500 * time.Millisecond // from the end of a process to its next start

// process is one of the system's own programs, started with the command of the deploy file.
type process struct {
	name     string
	role     string
	folder   string
	settings func(first bool) string
	record   *record

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	starts  int
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := filepath.Join(p.folder, p.name+".conf")
	if err := os.WriteFile(path, []byte(p.settings(p.starts == 0)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/endiverill", p.role)
	command.Env = []string{"ENDIVERILL_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p.starts++
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	p.record.printf("start  %s, start %d", p.name, p.starts)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		p.record.printf("signal %s gets %v", p.name, signal)
		_ = p.command.Process.Signal(signal)
	}
}

// kill ends the process and waits until it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// restart kills the process and starts it again as the platform does.
func (p *process) restart() error {
	p.kill()
	time.Sleep(restartDelay)
	return p.start()
}

// roll stops the process as in planned work and starts it again.
func (p *process) roll() error {
	p.signal(syscall.SIGTERM)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(8 * time.Second): // Bounds.GraceS
		p.kill()
	}
	time.Sleep(restartDelay)
	return p.start()
}

// deployment is a small deployment: entries, engines with agents, and a plain service.
type deployment struct {
	folder   string
	network  int
	reserved net.Listener
	record   *record
	store    *store
	entries  []*process
	agents   []*process
	engines  []*replica
	plain    []*replica
	ports    struct{ front, ready, control, inner, app int }
	sent     atomic.Int64
	mu       sync.Mutex
	answers  []answer
}

// answer is what a caller got.
type answer struct {
	id     string
	plain  bool // asks the plain service
	sentAt time.Time
	at     time.Time
	status int
	ran    string
	err    error
}

var zones = []string{"bkk-a", "bkk-b", "nonthaburi", "pathum"}

const (
	engineService = "huvo11a"
	plainService  = "wuno96b"
	key           = "i9n73hh2b9wu3fexd9dn"
	host          = "ficu95.example"
)

func (d *deployment) ip(group, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.network, group, index+1)
}

// reserve keeps other deployments on this machine from using the same addresses.
func (d *deployment) reserve() bool {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:9100", d.ip(9, 9)))
	if err != nil {
		return false
	}
	d.reserved = listener // until the end of the process
	return true
}

// free reports whether the ports that the system uses are free on the addresses.
func (d *deployment) free() bool {
	for _, ip := range []string{d.ip(1, 0), d.ip(2, 0), d.ip(3, 0)} {
		for _, port := range []int{d.ports.front, d.ports.ready, d.ports.control, d.ports.inner, d.ports.inner + 1, d.ports.app, 9101, 9102} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// newDeployment starts the stand-ins and then the system, and waits until all entries are ready.
func newDeployment(record *record, engines, plain int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "endiverill-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, record: record}
	for attempt := 0; ; attempt++ {
		base := 12000 + 20*rand.IntN(900)
		d.network = 20 + rand.IntN(200)
		d.ports.front, d.ports.ready, d.ports.control, d.ports.app, d.ports.inner = base, base+1, base+2, base+3, base+4
		if d.reserve() && d.free() {
			break
		}
		if attempt > 50 {
			return nil, fmt.Errorf("no free ports")
		}
	}
	if d.store, err = newStore(fmt.Sprintf("%s:%d", d.ip(9, 0), d.ports.app)); err != nil {
		return nil, err
	}
	for index := range 4 {
		d.entries = append(d.entries, &process{name: fmt.Sprintf("front-%s-1", zones[index]), role: "entry", folder: folder, record: record, settings: func(first bool) string { return d.entrySettings(index, first) }})
	}
	for index := range engines {
		d.agents = append(d.agents, d.newAgent(index))
	}
	for _, started := range append(append([]*process{}, d.entries...), d.agents...) {
		if err := started.start(); err != nil {
			return d, err
		}
	}
	for index := range engines {
		if err := d.addEngine(index, "v1", map[string][]string{"daka510000": {}}); err != nil {
			return d, err
		}
	}
	for range plain {
		if _, err := d.addPlain(); err != nil {
			return d, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	d.store.write("config", "main", configuration(7))
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for index := range d.entries {
			if d.ready(index) {
				ready++
			}
		}
		if ready == len(d.entries) {
			return d, nil
		}
		if time.Now().After(end) {
			return d, fmt.Errorf("%d of %d entries are ready", ready, len(d.entries))
		}
	}
}

// newAgent returns the agent of an engine, not started.
func (d *deployment) newAgent(index int) *process {
	name := fmt.Sprintf("side-%s-%d", zones[index%len(zones)], 1+index/len(zones))
	return &process{name: name, role: "agent", folder: d.folder, record: d.record, settings: func(first bool) string { return d.agentSettings(index, first) }}
}

// addEngine starts a model engine that holds the models.
func (d *deployment) addEngine(index int, version string, models map[string][]string) error {
	engine, err := newReplica(fmt.Sprintf("i-e%d", index), engineService, version, fmt.Sprintf("%s:%d", d.ip(2, index), d.ports.app), zones[index%len(zones)], d.store, d.record, models)
	if err == nil {
		d.engines = append(d.engines, engine)
	}
	return err
}

// addMachine adds a machine with an agent and an empty engine.
func (d *deployment) addMachine(version string) error {
	index := len(d.agents)
	agent := d.newAgent(index)
	agent.starts = 1 // the system does not start for the first time
	d.agents = append(d.agents, agent)
	if err := d.addEngine(index, version, map[string][]string{}); err != nil {
		return err
	}
	return agent.start()
}

// addPlain starts a replica of the plain service.
func (d *deployment) addPlain() (*replica, error) { return d.addPlainVersion("v1") }

// addPlainVersion starts a replica of the plain service that runs a software version.
func (d *deployment) addPlainVersion(version string) (*replica, error) {
	index := len(d.plain)
	added, err := newReplica(fmt.Sprintf("i-p%d", index), plainService, version, fmt.Sprintf("%s:%d", d.ip(3, index), d.ports.app), zones[index%len(zones)], d.store, d.record, nil)
	if err == nil {
		d.plain = append(d.plain, added)
	}
	return added, err
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	for _, started := range append(append([]*process{}, d.entries...), d.agents...) {
		started.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

func (d *deployment) ready(entry int) bool {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/api/ready", d.ip(1, entry), d.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *deployment) commonSettings(name, ip, zone, class string, first bool) string {
	var seeds []string
	for index := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", d.ip(1, index), d.ports.control))
	}
	lines := []string{
		"Node=" + name, "MachineClass=" + class, "Ip=" + ip, "Zone=" + zone, "Region=th-central",
		fmt.Sprintf("InnerPortRange=%d,%d", d.ports.inner, d.ports.inner+15), "Seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("Bootstrap=%v", first), "InTolerance=false", "Limits.CpuShare=0.304", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100",
		"Limits.LinkMbps=1000.0", "Limits.DiskMb=0", "Discovery=platform", "Entry=vip", "HeartbeatMs=1200",
		"Contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
		"Tolerate.Machines=2", "Tolerate.Zones=0", "Tolerate.Regions=0", "Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.StabilityWindowMs=3000",
		"Bounds.AckMs=4000", "Bounds.CatchUpS=4", "Bounds.DrainMs=2000", "Bounds.GraceS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000",
		"Bounds.RollbackSlackMs=250", "Bounds.MaxStretchMs=5000", "Bounds.EnforceRevoke=false", "Bounds.RevokeMs=5000", "Bounds.BudgetRatio=0.2",
		"Bounds.BudgetWindowS=10", "Bounds.BudgetSlack=52", "Bounds.QuotaWindowS=8", "Bounds.QuotaOverage=0.1", "Bounds.QuotaSlack=17000", "Bounds.RecoverS=12",
		"Bounds.PassMs=120", "Bounds.RetryAfterS=0", "Bounds.RequireFence=false", "Bounds.LeaseMs=3000", "Bounds.ThawMs=300", "Bounds.CeilingWindowS=5",
		"Bounds.CeilingOverage=1.1", "Platform.Address=" + d.store.address, "Platform.form=objects", "Platform.WritesPerS=400", "Platform.ReadsPerS=2000",
		"Platform.HistoryS=20", "Platform.ValueBytes=1048576", "Platform.MinTtlMs=1000",
	}
	for _, zone := range zones {
		lines = append(lines, "Zones."+zone+"=th-central")
	}
	return strings.Join(lines, "\n") + "\n"
}

func (d *deployment) entrySettings(index int, first bool) string {
	ip := d.ip(1, index)
	return d.commonSettings(d.entries[index].name, ip, zones[index], "front", first) + fmt.Sprintf(
		"Role=entry\nServes=front,control\nListen.Front=%s:%d\nListen.Ready=%s:%d\nListen.Control=%s:%d\n", ip, d.ports.front, ip, d.ports.ready, ip, d.ports.control)
}

func (d *deployment) agentSettings(index int, first bool) string {
	ip := d.ip(2, index)
	return d.commonSettings(d.agents[index].name, ip, zones[index%len(zones)], "side", first) + fmt.Sprintf("Role=agent\nServes=side\napp=%s:%d\nService=%s\n", ip, d.ports.app, engineService)
}

// configuration returns a configuration with the routes of a small deployment.
func configuration(version int) map[string]any {
	model := func(name string, adapters int) map[string]any {
		return map[string]any{"Name": name, "WeightsMb": 72700.0, "LoadS": 1.2, "Adapters": adapters, "AdapterMb": 66.0, "WarmS": 0.6, "DiskS": 0.8}
	}
	return map[string]any{
		"Version": version,
		"Routes": []any{
			map[string]any{"Name": "r-draft", "Host": host, "PathPrefix": "/draft/", "Kind": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 600, "TargetGapMs": 300, "Priority": 1, "Service": engineService, "MaxAttempts": 1, "AllowAnonymous": false, "Sticky": true, "Resumable": false},
			map[string]any{"Name": "r-backlist", "Host": host, "PathPrefix": "/backlist/", "Kind": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 6000, "TargetGapMs": 300, "Priority": 2, "Service": engineService, "MaxAttempts": 2, "AllowAnonymous": false, "Sticky": true, "Resumable": true},
			map[string]any{"Name": "r-feed", "Host": host, "PathPrefix": "/feed/", "Kind": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 6000, "TargetGapMs": 300, "Priority": 2, "Service": plainService, "MaxAttempts": 2, "AllowAnonymous": false, "Resumable": true},
			map[string]any{"Name": "r-assign", "Host": host, "PathPrefix": "/assign/", "Kind": "unsafe", "TimeoutMs": 800, "TargetLatencyMs": 100, "Priority": 2, "Service": plainService, "MaxAttempts": 1, "AllowAnonymous": false},
			map[string]any{"Name": "r-lookup", "Host": host, "PathPrefix": "/lookup/", "Kind": "safe", "TimeoutMs": 800, "TargetLatencyMs": 100, "Priority": 2, "Service": plainService, "MaxAttempts": 2, "AllowAnonymous": false},
		},
		"Services": []any{
			map[string]any{"Name": engineService, "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 64, "KvCapacity": 161844, "KvTokenBytes": 327680, "LinkMbps": 740000.0, "WeightsMb": 200000.0, "AdapterSlots": 8, "LoadsPerS": 1.5,
				"Models": []any{model("daka510000", 24), model("rada7437b5", 0)},
			}},
			map[string]any{"Name": plainService, "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{key}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200, "RatePerS": 200000, "Burst": 200000}},
	}
}

// ask sends one request of a caller to an entry on a new connection, and records its answer.
func (d *deployment) ask(entry int, method, path string, pairs ...string) answer {
	id := fmt.Sprintf("%016x", d.sent.Add(1))
	got := answer{id: id, plain: strings.HasPrefix(path, "/assign/"), sentAt: time.Now()}
	d.record.printf("sent   %s %s%s to front %d %v", id, method, path, entry, pairs)
	defer func() {
		got.at = time.Now()
		d.record.printf("answer %s after %.3f s: %d, ran %q, %v", id, got.at.Sub(got.sentAt).Seconds(), got.status, got.ran, got.err)
		d.mu.Lock()
		d.answers = append(d.answers, got)
		d.mu.Unlock()
	}()
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", d.ip(1, entry), d.ports.front, path), strings.NewReader(""))
	if err != nil {
		got.err = err
		return got
	}
	if method == http.MethodPost {
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader("{}")), 2
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("Deadline-Ms", "1500")
	for index := 0; index+1 < len(pairs); index += 2 {
		request.Header.Set(pairs[index], pairs[index+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 6 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.status, got.ran = response.StatusCode, response.Header.Get("Endiverill-Ran")
	_, got.err = io.Copy(io.Discard, response.Body)
	return got
}

// askModel sends a request for a model, or for an adapter as MODEL/ADAPTER.
func (d *deployment) askModel(entry int, model string) answer {
	part := rand.Uint64()
	return d.ask(entry, http.MethodPost, "/draft/2f", "Model", model, "Token-Count", "300,16", "Prompt-Prefix", fmt.Sprintf("%x:300", part), "Deadline-Ms", "5000")
}
