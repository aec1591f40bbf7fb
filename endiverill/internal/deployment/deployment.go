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

// Deployment is a running deployment: entries, agents and the stand-ins for the
// object API, the weight store, the model engines and the plain services.
type Deployment struct {
	spec         Spec
	root         *logs.Root
	ctx          context.Context
	cancel       context.CancelFunc
	group        sync.WaitGroup
	store        *store.Store
	storeAddress string
	weights      *weight.Store
	engines      map[string]*engine.Engine
	services     map[string]*service.Service
	targets      map[string]*endpoint
	entries      []*EntryProcess
	agents       map[string]*AgentProcess
	mu           sync.Mutex
}

// endpoint holds the declared properties of a target and the addresses of the
// target and of its agent.
type endpoint struct {
	kind          config.TargetKind
	dataCentre    string
	address       string
	agentAddress  string
	service       string // empty for an engine
	memoryMB      int64
	models        []string
	listener      net.Listener // bound to agentAddress until the first agent takes it over
	listenerTaken bool
}

// EntryProcess is an entry that runs in this process.
type EntryProcess struct {
	*entry.Entry
	address string
	cancel  context.CancelFunc
	done    chan struct{}
}

// Address returns the host and port on which the entry serves callers.
func (entryProcess *EntryProcess) Address() string { return entryProcess.address }

// Kill stops the entry without draining it and waits until it has returned.
func (entryProcess *EntryProcess) Kill() {
	entryProcess.cancel()
	<-entryProcess.done
}

// AgentProcess is an agent that runs in this process.
type AgentProcess struct {
	*agent.Agent
	cancel context.CancelFunc
	done   chan struct{}
}

// Kill stops the agent without draining it and waits until it has returned.
func (agentProcess *AgentProcess) Kill() {
	agentProcess.cancel()
	<-agentProcess.done
}

// Start starts a deployment and waits until every entry is ready. On an error all
// that had been started is stopped again.
func Start(spec Spec) (*Deployment, error) {
	root, err := logs.New(os.Stderr, spec.LogLevel, "text")
	if err != nil {
		return nil, err
	}
	deployment := &Deployment{
		spec: spec, root: root, store: store.New(spec.Seed), weights: weight.New(spec.WeightLoadsPerSecond, spec.WeightConcurrentLoads),
		engines: map[string]*engine.Engine{}, services: map[string]*service.Service{},
		targets: map[string]*endpoint{}, agents: map[string]*AgentProcess{},
	}
	deployment.ctx, deployment.cancel = context.WithCancel(context.Background())
	if err := deployment.start(); err != nil {
		deployment.Close()
		return nil, err
	}
	return deployment, nil
}

func (deployment *Deployment) start() error {
	address, err := deployment.serve(deployment.store.Serve)
	if err != nil {
		return err
	}
	deployment.storeAddress = address
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

// serve runs a stand-in on a free port and returns its address.
func (deployment *Deployment) serve(serve func(net.Listener) error) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	deployment.group.Add(1)
	go func() {
		defer deployment.group.Done()
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
	for index, engineSpec := range spec.Engines {
		profile := spec.Profile
		profile.Memory = engineSpec.MemoryMB * mebibyte
		profile.SoftwareVersion = spec.SoftwareVersions[engineSpec.Name]
		engineStandIn := engine.New(profile, deployment.weights)
		for _, name := range engineSpec.Models {
			engineStandIn.Preload(name, "", footprints[name])
		}
		for _, name := range engineSpec.Adapters {
			engineStandIn.Preload(name, spec.Adapters[name], adapterMB*mebibyte)
		}
		address, err := deployment.serve(engineStandIn.Serve)
		if err != nil {
			return err
		}
		deployment.engines[engineSpec.Name] = engineStandIn
		deployment.targets[engineSpec.Name] = &endpoint{
			kind: config.Engine, dataCentre: spec.DataCentres[index%len(spec.DataCentres)], address: address,
			memoryMB: engineSpec.MemoryMB, models: engineSpec.Models,
		}
	}
	for index, name := range spec.Services {
		serviceStandIn := service.New()
		context.AfterFunc(deployment.ctx, serviceStandIn.Close)
		address, err := deployment.serve(serviceStandIn.Serve)
		if err != nil {
			return err
		}
		target := fmt.Sprintf("%s-%d", name, index+1)
		deployment.services[target] = serviceStandIn
		deployment.targets[target] = &endpoint{kind: config.Service, dataCentre: spec.DataCentres[index%len(spec.DataCentres)], address: address, service: name}
	}
	return deployment.reservePorts()
}

// Agents listen below the ephemeral ports, so that no outgoing connection takes the
// port of a stopped agent before it restarts.
const (
	firstAgentPort = 18000
	lastAgentPort  = 32000
)

// reservePorts binds a port for each agent, since the configuration names the
// addresses of agents before they start.
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
			target.listener, target.agentAddress = listener, listener.Addr().String()
		}
	}
	return nil
}

// agentListener returns the reserved listener on the first call, and a new one on
// the same port on later calls, after the agent was stopped.
func (endpoint *endpoint) agentListener() (net.Listener, error) {
	if listener := endpoint.listener; !endpoint.listenerTaken {
		endpoint.listenerTaken = true
		return listener, nil
	}
	return listenWithRetry(endpoint.agentAddress)
}

const (
	adapterMB                 = 50
	maxConcurrentAdapterLoads = 25
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
			"kind": target.kind, "data_centre": target.dataCentre, "agent": target.agentAddress, "address": target.address,
			"memory_mb": target.memoryMB, "models": target.models, "service": target.service,
			"checks_orders": spec.Profile.ChecksOrders,
		}
	}
	data, err := json.Marshal(map[string]any{
		"models": models, "adapters": adapters, "customers": customers, "keys": keys, "routes": spec.Routes, "targets": targets,
		"weights": map[string]any{"loads_per_second": spec.WeightLoadsPerSecond, "loads_at_once": spec.WeightConcurrentLoads, "adapters_at_once": maxConcurrentAdapterLoads},
	})
	if err != nil {
		panic(err)
	}
	return data
}

const site = "main"

// Apply stores a configuration as the newest generation. It doesn't wait until
// instances have it in force; see WaitGeneration.
func (deployment *Deployment) Apply(document []byte) error {
	rendered, err := config.Merge(document, nil)
	if err != nil {
		return err
	}
	applier := config.Applier{Store: deployment.store, Site: site, Operator: "demo"}
	_, err = applier.Apply(deployment.ctx, rendered, config.AnyGeneration)
	return err
}

// values returns the defaults of a settings table, replaced where the deployment sets
// the store address, the site and the log level, and where overrides has a value.
// The log level cannot be overridden.
func (deployment *Deployment) values(table *setting.Table, overrides map[string]any) *setting.Values {
	values := table.Defaults().With("store.address", deployment.storeAddress).With("site", site)
	for name, value := range overrides {
		values = values.With(name, value)
	}
	return values.With("log.level", deployment.spec.LogLevel)
}

// StartAgent starts the agent of a target; an agent started earlier for the same
// target must have been stopped.
func (deployment *Deployment) StartAgent(target string) error {
	endpoint := deployment.targets[target]
	values := deployment.values(agent.Settings(), deployment.spec.Agent).
		With("agent.target", target).With("agent.kind", string(endpoint.kind)).With("agent.address", endpoint.address).
		With("data_centre", endpoint.dataCentre).With("instance", "agent-"+target)
	base, err := instance.New("agent", values, deployment.root, clock.System{})
	if err != nil {
		return err
	}
	listener, err := endpoint.agentListener()
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

const (
	listenAttempts      = 100
	listenRetryInterval = 10 * time.Millisecond
)

// listenWithRetry listens on an address, and retries while a stopped agent has not
// released it yet.
func listenWithRetry(address string) (net.Listener, error) {
	var listener net.Listener
	var err error
	for range listenAttempts {
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(listenRetryInterval)
	}
	return nil, err
}

// StartEntry starts an entry without waiting until it is ready. Indexes count from 0,
// names from 1: index 0 gives entry-1. Data centres are assigned to successive indexes
// in rotation.
func (deployment *Deployment) StartEntry(index int) (*EntryProcess, error) {
	return deployment.StartEntryWith(index, nil)
}

// StartEntryWith is StartEntry with settings that override those of Spec.Entry.
func (deployment *Deployment) StartEntryWith(index int, overrides map[string]any) (*EntryProcess, error) {
	values := deployment.values(entry.Settings(), deployment.spec.Entry)
	for name, value := range overrides {
		values = values.With(name, value)
	}
	values = values.With("data_centre", deployment.spec.DataCentres[index%len(deployment.spec.DataCentres)]).
		With("instance", fmt.Sprintf("entry-%d", index+1))
	base, err := instance.New("entry", values, deployment.root, clock.System{})
	if err != nil {
		return nil, err
	}
	newEntry, err := entry.New(base)
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
	process := &EntryProcess{Entry: newEntry, address: callers.Addr().String(), cancel: cancel, done: make(chan struct{})}
	deployment.run(process.done, func() error { return process.Run(ctx, callers, peers) })
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	deployment.entries = append(deployment.entries, process)
	return process, nil
}

// run runs an instance until it ends and then closes done.
func (deployment *Deployment) run(done chan struct{}, run func() error) {
	deployment.group.Add(1)
	go func() {
		defer deployment.group.Done()
		defer close(done)
		if err := run(); err != nil && deployment.ctx.Err() == nil {
			deployment.root.Component("deployment", "").Warnf("an entry or agent ended with an error: %v", err)
		}
	}()
}

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// waitReady waits until every entry can send requests to every target and knows a
// target for each preloaded model.
func (deployment *Deployment) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		ready := true
		for _, process := range deployment.Entries() {
			ready = ready && process.UsableTargets() == len(deployment.targets) && deployment.servesPreloadedModels(process)
		}
		if ready {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return errors.Newf("expected every entry to use all targets and to serve all preloaded models within %v", readyTimeout)
}

// servesPreloadedModels reports whether an entry knows a target for every model that
// engines start with.
func (deployment *Deployment) servesPreloadedModels(process *EntryProcess) bool {
	for _, engineSpec := range deployment.spec.Engines {
		for _, name := range engineSpec.Models {
			if !process.Serves(name) {
				return false
			}
		}
	}
	return true
}

// Entries returns the entries started so far, in the order of their start.
func (deployment *Deployment) Entries() []*EntryProcess {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	return append([]*EntryProcess(nil), deployment.entries...)
}

// Agent returns the agent started last for a target, or nil.
func (deployment *Deployment) Agent(target string) *AgentProcess {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	return deployment.agents[target]
}

// Engine returns the stand-in of the engine with that name.
func (deployment *Deployment) Engine(name string) *engine.Engine { return deployment.engines[name] }

// Service returns the stand-in of a plain service target.
func (deployment *Deployment) Service(target string) *service.Service {
	return deployment.services[target]
}

// Store returns the stand-in object API.
func (deployment *Deployment) Store() *store.Store { return deployment.store }

// StoreAddress returns the host and port of the stand-in object API.
func (deployment *Deployment) StoreAddress() string { return deployment.storeAddress }

// TargetNames returns the names of all targets in no particular order, separated by a
// comma and a space.
func (deployment *Deployment) TargetNames() string {
	names := make([]string, 0, len(deployment.targets))
	for name := range deployment.targets {
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

// Close stops everything without draining and waits until it has ended.
func (deployment *Deployment) Close() {
	deployment.cancel()
	deployment.group.Wait()
}
