// Package dispatch decides which target a request is sent to, whether it first
// has to wait for an adapter or a model to be loaded, and when it is refused. It
// decides from the list of targets, their reports, and the requests that this
// instance sent to them with their outcomes. It does no I/O: package gateway
// sends the requests and package residency plans which models targets hold. Package
// route, not this one, serves package entry. A Dispatcher is not safe for concurrent
// use; callers hold a lock and pass the time.
package dispatch

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiverill.example/kernel/directory"
)

// Part is a segment of a prompt. Requests with the same leading parts share
// them in a target's prefix cache.
type Part struct {
	ID     string
	Tokens int
}

// Request describes a request for which a target is to be chosen.
type Request struct {
	Service         string
	Model           string // empty for plain services
	Adapter         string // empty without an adapter
	PromptTokens    int
	MaxOutputTokens int
	Parts           []Part
	Urgency         int  // 0 is the most urgent
	Excess          bool // above the customer's rate; served only if it delays no other request
	Arrived         time.Time
	Objective       time.Duration // for the time to the first event; 0 if the route has none
	EventGap        time.Duration // longest pause between events that is in time; 0 if the route states none
	StartBy         time.Time     // latest first event, after which the caller leaves
	Deadline        time.Time     // latest end
	Begins          bool          // a stream that its caller may take up, so that it begins at an admitted software version, see SetAdmission
	Continues       bool          // a stream that has begun, so that only a target that runs Software can take it
	Software        string        // software version that began the stream, if Continues; empty if no target of the service has one
	keys            []uint32      // result of partKeys, computed on first use
}

// partKeys returns the keys of the request's parts in the prefix cache of a
// target. They depend on model and adapter, since a part that is cached for one
// model or adapter is of no use to another. Two parts may have the same key; an
// estimate is wrong then.
func (request *Request) partKeys() []uint32 {
	if len(request.keys) == len(request.Parts) {
		return request.keys
	}
	request.keys = make([]uint32, 0, len(request.Parts))
	for _, part := range request.Parts {
		request.keys = append(request.keys, uint32(xxhash.Sum64String(request.Model+"/"+request.Adapter+"/"+part.ID)))
	}
	return request.keys
}

// SharedPart is a part of a prompt that other requests may share, by its key in the prefix
// cache.
type SharedPart struct {
	Key    uint32
	Tokens int
}

// SharedParts returns the request's parts without the last one, which is its own.
func (request *Request) SharedParts() []SharedPart {
	var shared []SharedPart
	for index, key := range request.partKeys() {
		if index < len(request.Parts)-1 {
			shared = append(shared, SharedPart{Key: key, Tokens: request.Parts[index].Tokens})
		}
	}
	return shared
}

// SharedIDs returns the IDs of the parts that other requests may share.
func (request *Request) SharedIDs() []string {
	var ids []string
	for index := range max(len(request.Parts)-1, 0) {
		ids = append(ids, request.Parts[index].ID)
	}
	return ids
}

// kvTokens returns the tokens of KV cache that the request may take up.
func (request *Request) kvTokens() int { return request.PromptTokens + request.MaxOutputTokens }

// Decision is what Choose returns.
type Decision interface {
	// ModelMissing reports whether the request is held or refused because no target
	// that could take it holds the model and none is loading it.
	ModelMissing() bool
}

// Estimate is the estimated wait of a request at a target, and what it is based on.
type Estimate struct {
	Target         string        // ID of the target
	Wait           time.Duration // until the first event
	ReportAge      time.Duration // of the target's report; negative if there is none
	TokensAhead    int           // prompt tokens that the target reads first
	UncachedTokens int           // prompt tokens of the request that are not in the prefix cache
	Occupancy      int           // requests at the target
}

// String returns the estimate as it stands in log lines.
func (estimate Estimate) String() string {
	return fmt.Sprintf("%v at target %s with %d requests, %d tokens ahead and %d to read, by a report %v old",
		estimate.Wait, estimate.Target, estimate.Occupancy, estimate.TokensAhead, estimate.UncachedTokens, estimate.ReportAge)
}

type (
	// Send forwards the request to a target now.
	Send struct {
		Target   *directory.Target
		Estimate Estimate
	}
	// LoadAdapter has the target load the adapter and then forwards the request to it.
	LoadAdapter struct {
		Target   *directory.Target
		Estimate Estimate
	}
	// Hold keeps the request waiting for a change, such as a loaded model, until
	// Until at the latest.
	Hold struct {
		Reason Reason
		Until  time.Time
	}
	// Refuse rejects the request; a retry may succeed once RetryAfter has passed.
	Refuse struct {
		Reason     Reason
		RetryAfter time.Duration
		Estimate   Estimate // at the best target, if there is one
	}
)

// ModelMissing returns false: a target holds the model.
func (Send) ModelMissing() bool { return false }

// ModelMissing returns false: a target holds the model.
func (LoadAdapter) ModelMissing() bool { return false }

// ModelMissing reports whether the reason is NotResident.
func (hold Hold) ModelMissing() bool { return hold.Reason == NotResident }

// ModelMissing reports whether the reason is NotResident.
func (refuse Refuse) ModelMissing() bool { return refuse.Reason == NotResident }

// Reason is why a request is held or refused.
type Reason string

// The reasons.
const (
	NoTarget    Reason = "no-target"    // no untried target of the service takes new requests
	NotResident Reason = "not-resident" // no target that could take the request holds the model
	Loading     Reason = "loading"      // as NotResident, but the model is being loaded
	Saturated   Reason = "saturated"    // the best target would send the first event too late or queue the request for too long
	NoSpare     Reason = "no-spare"     // the request is above the customer's rate, and no target is idle enough to serve it
	Resting     Reason = "resting"      // each target that could take the request has asked for a rest
	Limited     Reason = "limited"      // each target that could take the request has used up the limit that it names, or rests
	NoVersion   Reason = "no-version"   // no target that could take the request runs the software version that began the stream
	TooLarge    Reason = "too-large"    // the request needs more KV cache than any target has that could take it
)
