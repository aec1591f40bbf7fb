package main

import (
	"bufio"
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
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		stopAll()
		os.Exit(2)
	}
}

// record is record.txt of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, start: time.Now()}
}

func (r *record) logf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// subnet is a part of the loopback network of this run.
var subnet = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))

func ip(host int) string { return subnet + fmt.Sprint(host) }

// process is one of the project's programs.
type process struct {
	role, dir, ip string
	command       *exec.Cmd
	ended         chan struct{}
}

var (
	processesMu sync.Mutex
	processes   []*process
)

func stopAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.ended
	}
	processes = nil
}

// start starts a program with the command of the deploy file.
func (p *process) start(program, root string) {
	p.command = exec.Command(program, p.role)
	p.command.Dir = root
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ENDIVERILL_BOOT=" + filepath.Join(p.dir, "boot.conf")}
	output, err := os.OpenFile(filepath.Join(p.dir, "log.txt"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	check(err)
	p.command.Stdout, p.command.Stderr = output, output
	check(p.command.Start())
	p.ended = make(chan struct{})
	command, ended := p.command, p.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

const (
	frontPort, readyPort, controlPort = 8221, 8224, 8229
	storePort                         = 8225
)

// settings are the settings of a process of a small deployment.
func settings(node, class, ip, zone, storeAddress string, seeds []string, extra map[string]string) string {
	fields := []string{
		"Node=" + node, "Role=" + class, "MachineClass=" + class, "Ip=" + ip, "Zone=" + zone, "Region=region", "Zones." + zone + "=region",
		"InnerPortRange=7600,7615", "Seeds=" + strings.Join(seeds, ","), "Bootstrap=false", "InTolerance=false",
		"Limits.CpuShare=0.304", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
		"Discovery=platform", "Entry=vip", "HeartbeatMs=1200",
		"Contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
		"Tolerate.Machines=2", "Tolerate.Zones=0", "Tolerate.Regions=0",
		"Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.StabilityWindowMs=3000", "Bounds.AckMs=4000", "Bounds.CatchUpS=4",
		"Bounds.DrainMs=2000", "Bounds.GraceS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RollbackSlackMs=250",
		"Bounds.MaxStretchMs=5000", "Bounds.EnforceRevoke=false", "Bounds.RevokeMs=5000", "Bounds.BudgetRatio=0.2", "Bounds.BudgetWindowS=10",
		"Bounds.BudgetSlack=52", "Bounds.QuotaWindowS=8", "Bounds.QuotaOverage=0.1", "Bounds.QuotaSlack=17000", "Bounds.RecoverS=12",
		"Bounds.PassMs=120", "Bounds.RetryAfterS=0", "Bounds.RequireFence=false", "Bounds.LeaseMs=3000", "Bounds.ThawMs=300",
		"Bounds.CeilingWindowS=5", "Bounds.CeilingOverage=1.1",
		"Platform.Address=" + storeAddress, "Platform.form=objects", "Platform.WritesPerS=400", "Platform.ReadsPerS=2000",
		"Platform.HistoryS=20", "Platform.ValueBytes=1048576", "Platform.MinTtlMs=1000",
	}
	for name, value := range extra {
		fields = append(fields, name+"="+value)
	}
	return strings.Join(fields, "\n") + "\n"
}

// bed is a small deployment: entries, a store and replicas, with a loopback address for each machine.
type bed struct {
	root, program, temp string
	record              *record
	store               *store
	entries             []*process
}

func newBed(root, recordPath string) *bed {
	temp, err := os.MkdirTemp("", "bed")
	check(err)
	b := &bed{root: root, program: filepath.Join(root, "target", "endiverill"), temp: temp, record: newRecord(recordPath)}
	b.store = newStore(net.JoinHostPort(ip(250), fmt.Sprint(storePort)))
	return b
}

// addEntry prepares an entry on a machine of its own.
func (b *bed) addEntry(host int, zone string) *process {
	return b.addProcess("entry", host, zone, map[string]string{
		"Serves": "front,control", "Listen.Front": fmt.Sprintf("%s:%d", ip(host), frontPort),
		"Listen.Ready": fmt.Sprintf("%s:%d", ip(host), readyPort), "Listen.Control": fmt.Sprintf("%s:%d", ip(host), controlPort),
	})
}

func (b *bed) addProcess(role string, host int, zone string, extra map[string]string) *process {
	p := &process{role: role, dir: filepath.Join(b.temp, fmt.Sprintf("%s-%d", role, host)), ip: ip(host)}
	check(os.MkdirAll(p.dir, 0o755))
	class := map[string]string{"entry": "front", "agent": "side"}[role]
	seeds := []string{}
	for seed := 1; seed <= 3; seed++ {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(seed), controlPort))
	}
	text := settings(fmt.Sprintf("%s-%s-%d", class, zone, host), class, p.ip, zone, b.store.address, seeds, extra)
	check(os.WriteFile(filepath.Join(p.dir, "boot.conf"), []byte(text), 0o644))
	p.start(b.program, b.root)
	if role == "entry" {
		b.entries = append(b.entries, p)
	}
	return p
}

func ready(host string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", host, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *bed) awaitReady(p *process) {
	for end := time.Now().Add(20 * time.Second); !ready(p.ip); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			check(fmt.Errorf("%s is not ready", p.ip))
		}
	}
}

func (b *bed) close() {
	stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.temp)
	} else {
		fmt.Println(b.temp)
	}
}

// replica is a stand-in for one replica.
type replica struct {
	bed      *bed
	id       string
	address  string
	service  string
	slots    int
	state    string
	extra    map[string]any
	sequence int
	mu       sync.Mutex
	stopped  chan struct{}
	serve    func(conn net.Conn, reader *bufio.Reader, request *http.Request, body []byte) bool // false closes the connection
}

func (b *bed) addReplica(host int, service string, slots int) *replica {
	r := &replica{bed: b, id: fmt.Sprintf("i-%s-%d", service, host), address: fmt.Sprintf("%s:8080", ip(host)), service: service, slots: slots, state: "ready", stopped: make(chan struct{})}
	listener, err := net.Listen("tcp", r.address)
	check(err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.handle(conn)
		}
	}()
	go func() {
		for {
			r.beat()
			select {
			case <-time.After(1200 * time.Millisecond):
			case <-r.stopped:
				return
			}
		}
	}()
	return r
}

func (r *replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	spec := map[string]any{"Service": r.service, "Address": r.address, "Zone": "z1", "Version": "v1", "Slots": r.slots, "State": r.state,
		"ColdRemainingMs": 0, "Sequence": r.sequence, "born": r.bed.record.start.UnixMilli()}
	for name, value := range r.extra {
		spec[name] = value
	}
	r.bed.store.put("servers", r.id, spec)
}

func (r *replica) handle(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			if err != io.EOF && !strings.Contains(err.Error(), "reset") {
				r.bed.record.logf("replica %s: no request: %v", r.id, err)
			}
			return
		}
		if request.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
			_, _ = io.Copy(io.Discard, request.Body)
			continue
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			r.bed.record.logf("replica %s: body of %s not whole: %v", r.id, request.Header.Get("Request-Id"), err)
			return
		}
		if !r.serve(conn, reader, request, body) {
			return
		}
	}
}

func answer(conn net.Conn, request *http.Request, status string, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", status, request.Header.Get("Request-Id"), request.Header.Get("Request-Id"), len(body), body)
}

var limits = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
