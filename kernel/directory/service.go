package directory

import "time"

// ModelSpec is what a model is built from.
type ModelSpec struct {
	Name             string
	WeightsMegabytes float64       // size of the weights
	StoreLoadTime    time.Duration // duration of a load from the weight store with no other load in progress
	DiskLoadTime     time.Duration // duration of a load from the target's disk
	HostLoadTime     time.Duration // duration of a load from the target's host memory
	Adapters         int           // number of adapters
	AdapterMegabytes float64       // size of one adapter
}

// Model is a model that the configuration declares for a service.
type Model struct{ spec ModelSpec }

// NewModel returns the model of spec.
func NewModel(spec ModelSpec) *Model { return &Model{spec: spec} }

// Name returns the model's name.
func (model *Model) Name() string { return model.spec.Name }

// WeightsMegabytes returns the size of the weights in megabytes.
func (model *Model) WeightsMegabytes() float64 { return model.spec.WeightsMegabytes }

// StoreLoadTime returns how long a load from the weight store takes with no other
// load in progress.
func (model *Model) StoreLoadTime() time.Duration { return model.spec.StoreLoadTime }

// DiskLoadTime returns how long a load from the target's disk takes.
func (model *Model) DiskLoadTime() time.Duration { return model.spec.DiskLoadTime }

// HostLoadTime returns how long a load from the target's host memory takes.
func (model *Model) HostLoadTime() time.Duration { return model.spec.HostLoadTime }

// AdapterMegabytes returns the size of one adapter in megabytes.
func (model *Model) AdapterMegabytes() float64 { return model.spec.AdapterMegabytes }

// Adapters returns how many adapters the model has.
func (model *Model) Adapters() int { return model.spec.Adapters }

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	MemoryMegabytes float64 // memory of one engine for weights and adapters
	AdapterSlots    int     // adapters that an engine can hold at once
	LoadsPerSecond  float64 // rate limit of the weight store, over the targets of all services; 0 is unlimited
	Models          []*Model
}

// ServiceSpec is what a service is built from.
type ServiceSpec struct {
	Name   string
	Engine *EngineSpec
}

// Service is a group of replicas that answer the same requests.
type Service struct {
	spec   ServiceSpec
	models map[string]*Model
}

// NewService returns the service of spec.
func NewService(spec ServiceSpec) *Service {
	service := &Service{spec: spec, models: map[string]*Model{}}
	if spec.Engine == nil {
		return service
	}
	for _, model := range spec.Engine.Models {
		service.models[model.spec.Name] = model
	}
	return service
}

// Name returns the service's name.
func (service *Service) Name() string { return service.spec.Name }

// Engine returns the description of the engines, nil for a plain service.
func (service *Service) Engine() *EngineSpec { return service.spec.Engine }

// Model returns the model of that name, nil if the service does not have it.
func (service *Service) Model(name string) *Model { return service.models[name] }
