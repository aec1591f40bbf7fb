package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/agent/agent"
	"endiverill.example/entry/entry"
	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/config"
	"endiverill.example/kernel/instance"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/setting"
	"endiverill.example/standin/engine"
	"endiverill.example/standin/service"
	"endiverill.example/standin/store"
	"endiverill.example/standin/weight"
)

// Deployment is a running deployment.
type Deployment struct {
	spec     Spec
	root     *logs.Root
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
	store    *store.Store
	storeAt  string
	weights  *weight.Store
	engines  map[string]*engine.Engine
	services map[string]*service.Service
	targets  map[string]*placeOf
	entries  []*EntryProcess
	agents   map[string]*AgentProcess
	mu       sync.Mutex
}

// placeOf is where a target and its agent listen.
type placeOf struct {
	kind       config.TargetKind
	dataCentre string
	address    string
	agent      string
	service    string
	memoryMB   int64
	models     []string
	listener   net.Listener // reserved for the first agent
	handed     bool
}

// EntryProcess is a running entry.
type EntryProcess struct {
	*entry.Entry
	address string
	cancel  context.CancelFunc
	done    chan struct{}
}

// Address returns where the entry serves callers.
func (entryProcess *EntryProcess) Address() string { return entryProcess.address }

// Kill ends the entry at once.
func (entryProcess *EntryProcess) Kill() {
	entryProcess.cancel()
	<-entryProcess.done
}

// AgentProcess is a running agent.
type AgentProcess struct {
	*agent.Agent
	cancel context.CancelFunc
	done   chan struct{}
}

// Kill ends the agent at once.
func (agentProcess *AgentProcess) Kill() {
	agentProcess.cancel()
	<-agentProcess.done
}

// Start brings a deployment up and waits until every entry is ready.
func Start(spec Spec) (*Deployment, error) {
	root, err := logs.New(os.Stderr, spec.LogLevel, "text")
	if err != nil {
		return nil, err
	}
	deployment := &Deployment{
		spec: spec, root: root, store: store.New(spec.Seed), weights: weight.New(spec.WeightRate, spec.WeightSpeed),
		engines: map[string]*engine.Engine{}, services: map[string]*service.Service{},
		targets: map[string]*placeOf{}, agents: map[string]*AgentProcess{},
	}
	deployment.ctx, deployment.cancel = context.WithCancel(context.Background())
	if err := deployment.start(); err != nil {
		deployment.Close()
		return nil, err
	}
	return deployment, nil
}

func (deployment *Deployment) start() error {
	listener, err := deployment.serve(deployment.store.Serve)
	if err != nil {
		return err
	}
	deployment.storeAt = listener
	deployment.store.SetFaults(store.Faults{Delay: deployment.spec.StoreDelay})
	if err := deployment.startTargets(); err != nil {
		return err
	}
	if err := deployment.Apply(deployment.Document()); err != nil {
		return err
	}
	for name := range deployment.targets {
		if err := deployment.StartAgent(name); err != nil {
			return err
		}
	}
	for index := range deployment.spec.Entries {
		if _, err := deployment.StartEntry(index); err != nil {
			return err
		}
	}
	return deployment.waitReady()
}

// serve runs a stand-in on a fresh port and returns its address.
func (deployment *Deployment) serve(serve func(net.Listener) error) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	deployment.wait.Add(1)
	go func() {
		defer deployment.wait.Done()
		_ = serve(listener)
	}()
	context.AfterFunc(deployment.ctx, func() { _ = listener.Close() })
	return listener.Addr().String(), nil
}

func (deployment *Deployment) startTargets() error {
	spec := deployment.spec
	footprints := map[string]int64{}
	for _, model := range spec.Models {
		footprints[model.Name] = (model.MemoryMB + model.KVMB) * mebibyte
	}
	for index, declared := range spec.Engines {
		profile := spec.Profile
		profile.Memory = declared.MemoryMB * mebibyte
		built := engine.New(profile, deployment.weights)
		for _, name := range declared.Models {
			built.Preload(name, "", footprints[name])
		}
		for _, name := range declared.Adapters {
			built.Preload(name, spec.Adapters[name], adapterMB*mebibyte)
		}
		address, err := deployment.serve(built.Serve)
		if err != nil {
			return err
		}
		deployment.engines[declared.Name] = built
		deployment.targets[declared.Name] = &placeOf{
			kind: config.Engine, dataCentre: spec.DataCentres[index%len(spec.DataCentres)], address: address,
			memoryMB: declared.MemoryMB, models: declared.Models,
		}
	}
	for index, name := range spec.Services {
		built := service.New()
		address, err := deployment.serve(built.Serve)
		if err != nil {
			return err
		}
		target := fmt.Sprintf("%s-%d", name, index+1)
		deployment.services[target] = built
		deployment.targets[target] = &placeOf{kind: config.Service, dataCentre: spec.DataCentres[index%len(spec.DataCentres)], address: address, service: name}
	}
	return deployment.reservePorts()
}

// The ports of agents, which must be free again after a restart, lie below those
// that outgoing connections take.
const (
	firstAgentPort = 18000
	lastAgentPort  = 32000
)

// reservePorts gives each agent an address that is known before it runs.
func (deployment *Deployment) reservePorts() error {
	port := firstAgentPort + rand.IntN(lastAgentPort-firstAgentPort)
	for _, target := range deployment.targets {
		for target.listener == nil {
			port++
			if port > lastAgentPort {
				port = firstAgentPort
			}
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if err != nil {
				continue
			}
			target.listener, target.agent = listener, listener.Addr().String()
		}
	}
	return nil
}

// agentListener returns the reserved listener at first, and a new one on the
// same port after a restart.
func (placeOf *placeOf) agentListener() (net.Listener, error) {
	if listener := placeOf.listener; !placeOf.handed {
		placeOf.handed = true
		return listener, nil
	}
	return listenAgain(placeOf.agent)
}

const (
	adapterMB      = 50
	adaptersAtOnce = 25
)

// Document returns the configuration of the deployment as JSON.
func (deployment *Deployment) Document() []byte {
	spec := deployment.spec
	models, adapters, customers, keys, targets := map[string]any{}, map[string]any{}, map[string]any{}, map[string]any{}, map[string]any{}
	for _, model := range spec.Models {
		models[model.Name] = map[string]any{"version": "1", "memory_mb": model.MemoryMB, "kv_mb": model.KVMB}
	}
	for name, model := range spec.Adapters {
		adapters[name] = map[string]any{"model": model, "memory_mb": adapterMB}
	}
	for name, customer := range spec.Customers {
		customers[name] = map[string]any{
			"tokens_per_second": customer.Rate, "burst_tokens": customer.Burst, "weight": customer.Weight,
			"models": customer.Models, "routes": customer.Routes,
		}
	}
	for customer, secret := range spec.Keys {
		keys[customer+"-key"] = map[string]any{"customer": customer, "sha256": config.Digest(secret)}
	}
	for name, target := range deployment.targets {
		targets[name] = map[string]any{
			"kind": target.kind, "data_centre": target.dataCentre, "agent": target.agent, "address": target.address,
			"memory_mb": target.memoryMB, "models": target.models, "service": target.service,
			"checks_orders": spec.Profile.ChecksOrders,
		}
	}
	data, err := json.Marshal(map[string]any{
		"models": models, "adapters": adapters, "customers": customers, "keys": keys, "routes": spec.Routes, "targets": targets,
		"weights": map[string]any{"loads_per_second": spec.WeightRate, "loads_at_once": spec.WeightSpeed, "adapters_at_once": adaptersAtOnce},
	})
	if err != nil {
		panic(err)
	}
	return data
}

const site = "main"

// Apply puts a configuration in force.
func (deployment *Deployment) Apply(document []byte) error {
	rendered, err := config.Merge(document, nil)
	if err != nil {
		return err
	}
	applier := config.Applier{Store: deployment.store, Site: site, Operator: "demo"}
	_, err = applier.Apply(deployment.ctx, rendered, config.AnyGeneration)
	return err
}

func (deployment *Deployment) values(table *setting.Table, extra map[string]any) *setting.Values {
	values := table.Defaults().With("store.address", deployment.storeAt).With("site", site)
	for name, value := range extra {
		values = values.With(name, value)
	}
	return values.With("log.level", deployment.spec.LogLevel)
}

// StartAgent starts the agent of a target; an earlier one must have ended.
func (deployment *Deployment) StartAgent(target string) error {
	place := deployment.targets[target]
	values := deployment.values(agent.Settings(), deployment.spec.Agent).
		With("agent.target", target).With("agent.kind", string(place.kind)).With("agent.address", place.address).
		With("data_centre", place.dataCentre).With("instance", "agent-"+target)
	base, err := instance.New("agent", values, deployment.root, clock.System{})
	if err != nil {
		return err
	}
	listener, err := place.agentListener()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(deployment.ctx)
	process := &AgentProcess{Agent: agent.New(base), cancel: cancel, done: make(chan struct{})}
	deployment.run(process.done, func() error { return process.Run(ctx, listener) })
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	deployment.agents[target] = process
	return nil
}

// listenAgain waits for a port that an earlier agent still gives up.
func listenAgain(address string) (net.Listener, error) {
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}

// StartEntry starts an entry; the index decides on its data centre.
func (deployment *Deployment) StartEntry(index int) (*EntryProcess, error) {
	return deployment.StartEntryWith(index, nil)
}

// StartEntryWith starts an entry with some settings of its own.
func (deployment *Deployment) StartEntryWith(index int, extra map[string]any) (*EntryProcess, error) {
	values := deployment.values(entry.Settings(), deployment.spec.Entry)
	for name, value := range extra {
		values = values.With(name, value)
	}
	values = values.With("data_centre", deployment.spec.DataCentres[index%len(deployment.spec.DataCentres)]).
		With("instance", fmt.Sprintf("entry-%d", index+1))
	base, err := instance.New("entry", values, deployment.root, clock.System{})
	if err != nil {
		return nil, err
	}
	built, err := entry.New(base)
	if err != nil {
		return nil, err
	}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(deployment.ctx)
	process := &EntryProcess{Entry: built, address: callers.Addr().String(), cancel: cancel, done: make(chan struct{})}
	deployment.run(process.done, func() error { return process.Run(ctx, callers, peers) })
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	deployment.entries = append(deployment.entries, process)
	return process, nil
}

func (deployment *Deployment) run(done chan struct{}, run func() error) {
	deployment.wait.Add(1)
	go func() {
		defer deployment.wait.Done()
		defer close(done)
		if err := run(); err != nil && deployment.ctx.Err() == nil {
			deployment.root.Part("deployment", "").Warnf("a process ended: %v", err)
		}
	}()
}

const (
	readyTimeout = 20 * time.Second
	readyPause   = 20 * time.Millisecond
)

// waitReady returns once every entry knows every target.
func (deployment *Deployment) waitReady() error {
	limit := time.Now().Add(readyTimeout)
	for time.Now().Before(limit) {
		ready := true
		for _, process := range deployment.Entries() {
			ready = ready && process.Targets() == len(deployment.targets) && deployment.servesAll(process)
		}
		if ready {
			return nil
		}
		time.Sleep(readyPause)
	}
	return errors.Newf("the deployment was not ready after %v", readyTimeout)
}

// servesAll says whether an entry knows of every model that engines start with.
func (deployment *Deployment) servesAll(process *EntryProcess) bool {
	for _, declared := range deployment.spec.Engines {
		for _, name := range declared.Models {
			if !process.Serves(name) {
				return false
			}
		}
	}
	return true
}

// Entries returns the entries that were started.
func (deployment *Deployment) Entries() []*EntryProcess {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	return append([]*EntryProcess(nil), deployment.entries...)
}

// Agent returns the agent of a target that was started last.
func (deployment *Deployment) Agent(target string) *AgentProcess {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	return deployment.agents[target]
}

// Engine returns the stand-in engine of that name.
func (deployment *Deployment) Engine(name string) *engine.Engine { return deployment.engines[name] }

// Service returns the stand-in service behind a target.
func (deployment *Deployment) Service(target string) *service.Service {
	return deployment.services[target]
}

// Store returns the stand-in object API.
func (deployment *Deployment) Store() *store.Store { return deployment.store }

// StoreAddress returns where the stand-in object API listens.
func (deployment *Deployment) StoreAddress() string { return deployment.storeAt }

// TargetNames returns the names of all targets, in no order.
func (deployment *Deployment) TargetNames() string {
	names := make([]string, 0, len(deployment.targets))
	for name := range deployment.targets {
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

// Close ends everything at once.
func (deployment *Deployment) Close() {
	deployment.cancel()
	deployment.wait.Wait()
}
