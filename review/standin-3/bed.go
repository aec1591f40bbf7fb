package main

import (
	"fmt"
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

// Bed is one small deployment: the project's programs as processes on loopback addresses, and
// stand-ins of the platform, the replicas and the clients.
type Bed struct {
	Store    *Store
	Replicas []*Replica
	prefix   string // of the addresses, 127.A.B.
	folder   string // temporary
	root     string // of the repository
	mu       sync.Mutex
	machines []*Machine
	record   *os.File
	began    time.Time
}

// Machine is a machine that runs one of the project's processes.
type Machine struct {
	Name, Role, IP, Zone string
	command              *exec.Cmd
	done                 chan struct{}
	bed                  *Bed
	replica              *Replica
}

const (
	frontPort  = 8221
	readyPort  = 8224
	enginePort = 8228
	storePort  = 8225
	host       = "ficu95.example"
	key        = "i9n73hh2b9wu3fexd9dn"
)

var zones = []string{"bkk-a", "bkk-b", "nonthaburi", "pathum"}

// NewBed opens the record and starts the store.
func NewBed(recordPath string) (*Bed, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	bed := &Bed{folder: folder, root: root, record: record, began: time.Now()}
	for range 100 {
		bed.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if bed.Store, err = NewStore(fmt.Sprintf("%s5:%d", bed.prefix, storePort)); err == nil {
			return bed, nil
		}
	}
	return nil, err
}

// Note writes a line to the record.
func (bed *Bed) Note(format string, args ...any) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	fmt.Fprintf(bed.record, "%8.3f  %s\n", time.Since(bed.began).Seconds(), fmt.Sprintf(format, args...))
}

// End ends all processes and removes the temporary folder.
func (bed *Bed) End() {
	for _, machine := range bed.machines {
		machine.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(bed.folder)
	} else {
		fmt.Println(bed.folder)
	}
	_ = bed.record.Close()
}

// IP returns the address of a machine with this number.
func (bed *Bed) IP(number int) string { return fmt.Sprintf("%s%d", bed.prefix, number) }

// AddReplica starts a replica on the machine with this number.
func (bed *Bed) AddReplica(number int, replica *Replica) error {
	replica.Address = fmt.Sprintf("%s:%d", bed.IP(number), enginePort)
	bed.Replicas = append(bed.Replicas, replica)
	return replica.Start(bed.Store)
}

// StartEntries starts entries, one in each zone.
func (bed *Bed) StartEntries(count int) error {
	for index := range count {
		machine := &Machine{bed: bed, Name: fmt.Sprintf("front-%s-1", zones[index%4]), Role: "entry", IP: bed.IP(11 + index), Zone: zones[index%4]}
		bed.machines = append(bed.machines, machine)
		if err := machine.Start(); err != nil {
			return err
		}
	}
	return nil
}

// StartAgent starts the agent beside a replica.
func (bed *Bed) StartAgent(replica *Replica) (*Machine, error) {
	ip, _, _ := net.SplitHostPort(replica.Address)
	machine := &Machine{bed: bed, Name: "side-" + ip, Role: "agent", IP: ip, Zone: replica.Zone, replica: replica}
	bed.machines = append(bed.machines, machine)
	return machine, machine.Start()
}

// Entries returns the machines that run an entry.
func (bed *Bed) Entries() []*Machine {
	var entries []*Machine
	for _, machine := range bed.machines {
		if machine.Role == "entry" {
			entries = append(entries, machine)
		}
	}
	return entries
}

func (machine *Machine) settings() string {
	bed := machine.bed
	lines := []string{
		"Node=" + machine.Name, "Role=" + machine.Role, "Ip=" + machine.IP, "Zone=" + machine.Zone, "Region=th-central",
		"InnerPortRange=7600,7615", "Seeds=" + strings.Join([]string{bed.IP(11) + ":8229", bed.IP(12) + ":8229", bed.IP(13) + ":8229"}, ","),
		"Bootstrap=false", "InTolerance=false", "Limits.CpuShare=0.304", "Limits.Cores=1", "Limits.MaxFds=4100", "Discovery=platform", "Entry=vip",
		"HeartbeatMs=1200", "Contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
		"Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.StabilityWindowMs=3000", "Bounds.AckMs=4000", "Bounds.CatchUpS=4", "Bounds.DrainMs=2000",
		"Bounds.GraceS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RollbackSlackMs=250", "Bounds.MaxStretchMs=5000",
		"Bounds.BudgetRatio=0.2", "Bounds.BudgetWindowS=10", "Bounds.BudgetSlack=52", "Bounds.QuotaWindowS=8", "Bounds.QuotaOverage=0.1",
		"Bounds.QuotaSlack=17000", "Bounds.RecoverS=12", "Bounds.PassMs=120", "Bounds.RequireFence=false", "Bounds.LeaseMs=3000", "Bounds.ThawMs=300",
		"Bounds.CeilingWindowS=5", "Bounds.CeilingOverage=1.1",
		fmt.Sprintf("Platform.Address=%s:%d", bed.IP(5), storePort), "Platform.form=objects", "Platform.WritesPerS=400", "Platform.ReadsPerS=2000",
		"Platform.HistoryS=20", "Platform.ValueBytes=1048576", "Platform.MinTtlMs=1000",
	}
	if machine.Role == "entry" {
		lines = append(lines, "MachineClass=front", "Serves=front,control", "Limits.MemoryMb=284", fmt.Sprintf("Listen.Front=%s:%d", machine.IP, frontPort),
			fmt.Sprintf("Listen.Ready=%s:%d", machine.IP, readyPort), fmt.Sprintf("Listen.Control=%s:8229", machine.IP))
	} else {
		lines = append(lines, "MachineClass=side", "Serves=side", "Limits.MemoryMb=216", "app="+machine.replica.Address, "Service="+machine.replica.Service)
	}
	return strings.Join(lines, "\n") + "\n"
}

// Start starts the machine's process with the command of the deploy file.
func (machine *Machine) Start() error {
	path := filepath.Join(machine.bed.folder, machine.Name+".conf")
	if err := os.WriteFile(path, []byte(machine.settings()), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(machine.bed.folder, machine.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command("target/endiverill", machine.Role)
	command.Dir = machine.bed.root
	command.Env = []string{"ENDIVERILL_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	machine.command, machine.done = command, done
	go func() {
		_ = command.Wait() // ends by a signal
		close(done)
	}()
	machine.bed.Note("%s started as process %d", machine.Name, command.Process.Pid)
	return nil
}

// Signal sends a signal to the machine's process.
func (machine *Machine) Signal(signal syscall.Signal) {
	machine.bed.Note("%s gets signal %v", machine.Name, signal)
	_ = machine.command.Process.Signal(signal) // it may have ended
}

// Kill kills the machine's process and waits for its end.
func (machine *Machine) Kill() {
	_ = machine.command.Process.Signal(syscall.SIGCONT)
	_ = machine.command.Process.Kill()
	<-machine.done
}

// Ended reports whether the machine's process has ended.
func (machine *Machine) Ended() bool {
	select {
	case <-machine.done:
		return true
	default:
		return false
	}
}

// AwaitReady waits until all entries answer their readiness probe with 200, twice in a row.
func (bed *Bed) AwaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, entry := range bed.Entries() {
		for good := 0; good < 2; {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", entry.Name)
			}
			good++
			response, err := http.Get(fmt.Sprintf("http://%s:%d/api/ready", entry.IP, readyPort))
			if err != nil || response.StatusCode != http.StatusOK {
				good = 0
			}
			if err == nil {
				_ = response.Body.Close()
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// fail ends a case that could not run.
func (bed *Bed) fail(err error) int {
	bed.Note("could not run: %v", err)
	fmt.Fprintln(os.Stderr, "could not run:", err)
	return 2
}
