package directory

import (
	"net"
	"reflect"
	"time"
)

// TargetSpec is what a target is built from.
type TargetSpec struct {
	ID         string
	Service    string
	Address    string // HOST:PORT
	DataCentre string
	Slots      int   // requests that the target runs at once
	Draining   bool  // the target takes no new requests
	StartedAt  int64 // start time in Unix milliseconds, 0 if unknown
	Models     []ResidentModel
	Software   string // version of the software that the target runs, empty if unknown
}

// ResidentModel is a model that a target holds, with the adapters that it holds.
type ResidentModel struct {
	Model    string
	Adapters []string
}

// Target is one incarnation of a target, as the list of targets shows it.
type Target struct{ spec TargetSpec }

// NewTarget returns the target of spec.
func NewTarget(spec TargetSpec) *Target { return &Target{spec: spec} }

// ID returns the ID of this incarnation of the target, which requests can refer
// to.
func (target *Target) ID() string { return target.spec.ID }

// Key identifies this incarnation of the target, even if another one has the same
// ID.
func (target *Target) Key() TargetKey { return TargetKey{target.spec.ID, target.spec.StartedAt} }

// StartedAt returns the target's start time in Unix milliseconds, 0 if unknown.
func (target *Target) StartedAt() int64 { return target.spec.StartedAt }

// Restarted returns the target's next incarnation at the same address, with the
// given ID and start time in Unix milliseconds. It holds no models, and its software
// version is not known.
func (target *Target) Restarted(id string, startedAt int64) *Target {
	spec := target.spec
	spec.ID, spec.StartedAt, spec.Draining, spec.Models, spec.Software = id, startedAt, false, nil, ""
	return NewTarget(spec)
}

// Left returns the target as one that takes no new requests.
func (target *Target) Left() *Target {
	spec := target.spec
	spec.Draining = true
	return NewTarget(spec)
}

// TargetKey identifies an incarnation of a target by ID and start time.
type TargetKey struct {
	ID        string
	StartedAt int64 // Unix milliseconds, 0 if unknown
}

// Service returns the name of the target's service.
func (target *Target) Service() string { return target.spec.Service }

// Address returns the target's address as HOST:PORT.
func (target *Target) Address() string { return target.spec.Address }

// Host returns the address without its port.
func (target *Target) Host() string {
	host, _, err := net.SplitHostPort(target.spec.Address)
	if err != nil {
		return target.spec.Address
	}
	return host
}

// DataCentre returns the target's data centre.
func (target *Target) DataCentre() string { return target.spec.DataCentre }

// Slots returns how many requests the target runs at once.
func (target *Target) Slots() int { return target.spec.Slots }

// Draining reports whether the target takes no new requests.
func (target *Target) Draining() bool { return target.spec.Draining }

// Software returns the version of the software that the target runs, empty if it is not
// known. It is not the version of the weights of a model.
func (target *Target) Software() string { return target.spec.Software }

// Models returns the models that the target holds according to the list.
func (target *Target) Models() []ResidentModel { return target.spec.Models }

// Report is a target's report of its load and of the models that it holds.
type Report struct {
	At              time.Time     // time of the report, by the clock of the instance that reads it
	Queued          int           // queued requests
	Running         int           // running requests
	Starting        int           // queued or running requests without an event so far
	Busy            bool          // an order is in progress
	BusyFor         time.Duration // until the order in progress should end; only then can another begin
	Draining        bool          // the target takes no new requests
	RemovedIn       time.Duration // time left to a target that is removed at short notice; 0 if it is not removed
	Sequence        uint64        // orders accepted since the target's start
	UsedKV          int           // tokens of KV cache that cannot be evicted
	TotalKV         int           // tokens of KV cache
	Models          []ResidentModel
	LoadingAdapters []string      // adapters that are being loaded, as MODEL/ADAPTER
	HostModels      []string      // models with a copy in host memory
	DiskModels      []string      // models with a copy on disk
	StartedAt       int64         // start time in Unix milliseconds
	Runs            []Run         // running requests; only in a report from the target itself
	Unread          []int         // prompt tokens that the target has yet to read, by urgency; nil if unknown
	Interval        time.Duration // longest time until the next report; 0 if unknown
	Unreachable     bool          // the target does not answer its agent
	NoOrders        bool          // nobody gives the target orders now
	Remote          bool          // made by another machine than the target's, whose silence says nothing of the target
	Limited         bool          // the target named a limit with the report; only in a report from the target itself
	Limit           float64       // requests a second, if Limited
}

// Run is a running request.
type Run struct {
	ID     string
	Tokens int // in the KV cache
	Events int // sent so far
}

// SameTargets reports whether two lists contain the same targets in the same
// state, in any order and regardless of the models that they hold.
func SameTargets(left, right []*Target) bool {
	if len(left) != len(right) {
		return false
	}
	known := make(map[TargetKey]*Target, len(left))
	for _, target := range left {
		known[target.Key()] = target
	}
	for _, target := range right {
		other := known[target.Key()]
		if other == nil || !other.equalExceptModels(target) {
			return false
		}
	}
	return true
}

// equalExceptModels reports whether two targets differ at most in their models.
func (target *Target) equalExceptModels(other *Target) bool {
	left, right := target.spec, other.spec
	left.Models, right.Models = nil, nil
	return reflect.DeepEqual(left, right)
}
