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
	Slots      int
	Draining   bool
	Born       int64 // Unix milliseconds of the target's start, 0 when it says nothing
	Models     []Resident
}

// Resident is a model that a target holds.
type Resident struct {
	Model    string
	Adapters []string
}

// Target is one entry of the list of instances.
type Target struct{ spec TargetSpec }

// NewTarget returns the target of spec.
func NewTarget(spec TargetSpec) *Target { return &Target{spec: spec} }

// ID returns the name of this start of the target, which a request can name.
func (target *Target) ID() string { return target.spec.ID }

// Key tells this start of the target from others, also from one that took the
// same ID.
func (target *Target) Key() TargetKey { return TargetKey{target.spec.ID, target.spec.Born} }

// Born returns the time of the target's start in Unix milliseconds, 0 when it
// says nothing.
func (target *Target) Born() int64 { return target.spec.Born }

// Restarted returns the target as it is after another start at the same
// address.
func (target *Target) Restarted(id string, born int64) *Target {
	spec := target.spec
	spec.ID, spec.Born, spec.Draining, spec.Models = id, born, false, nil
	return NewTarget(spec)
}

// TargetKey is a target's ID and the time of its start.
type TargetKey struct {
	ID   string
	Born int64 // Unix milliseconds
}

// Service returns the name of the target's service.
func (target *Target) Service() string { return target.spec.Service }

// Address returns HOST:PORT.
func (target *Target) Address() string { return target.spec.Address }

// Host returns the address without its port.
func (target *Target) Host() string {
	host, _, err := net.SplitHostPort(target.spec.Address)
	if err != nil {
		return target.spec.Address
	}
	return host
}

// DataCentre returns where the target stands.
func (target *Target) DataCentre() string { return target.spec.DataCentre }

// Slots returns how many requests the target runs at once.
func (target *Target) Slots() int { return target.spec.Slots }

// Draining says whether the target takes no new work.
func (target *Target) Draining() bool { return target.spec.Draining }

// Models returns what the target said it holds.
func (target *Target) Models() []Resident { return target.spec.Models }

// Report is what a target says of its load and of the models that it holds.
type Report struct {
	At       time.Time // when it was taken, on the reader's clock
	Waiting  int
	Running  int
	Starting int // running or waiting requests that have given no event yet
	Busy     bool
	BusyFor  time.Duration // until the order under way should end; no order can begin before
	Draining bool
	Leaves   time.Duration // until a target removed at short notice is gone; 0 for none
	Sequence uint64        // orders accepted since the target's start
	UsedKV   int           // tokens that cannot yield
	TotalKV  int           // tokens
	Models   []Resident
	Pending  []string // adapters that are being loaded, as MODEL/ADAPTER
	Host     []string // models with a copy in host memory
	Disk     []string // models with a copy on disk
	Born     int64    // Unix milliseconds
}

// SameTargets says whether two lists name the same targets in the same state,
// whatever these hold.
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
		if other == nil || !other.same(target) {
			return false
		}
	}
	return true
}

func (target *Target) same(other *Target) bool {
	mine, others := target.spec, other.spec
	mine.Models, others.Models = nil, nil
	return reflect.DeepEqual(mine, others)
}
