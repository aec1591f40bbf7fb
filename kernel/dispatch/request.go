// Package dispatch decides which target a request goes to, whether it has to
// wait for an adapter or a model, and when it is refused. It does no I/O; its
// callers guard it with a lock and pass the time in.
package dispatch

import (
	"time"

	"endiverill.example/kernel/directory"
)

// Part is a piece of a prompt; requests share the leading pieces.
type Part struct {
	ID     string
	Tokens int
}

// Request is what a decision needs to know of a request.
type Request struct {
	Service   string
	Model     string // empty for plain services
	Adapter   string // empty without an adapter
	Prompt    int    // tokens to read
	Output    int    // tokens to generate at most
	Parts     []Part
	Urgency   int // 0 is the most urgent
	Arrived   time.Time
	Objective time.Duration // of the first event; 0 where the route has none
	Begin     time.Time     // latest first event, after which the caller leaves
	Deadline  time.Time     // latest end
	keys      []string      // of the parts, in what targets keep; made when first needed
}

// partKeys returns the names under which a target keeps the parts of the
// request: the same part read for another model or adapter is another one.
func (request *Request) partKeys() []string {
	if len(request.keys) == len(request.Parts) {
		return request.keys
	}
	request.keys = make([]string, 0, len(request.Parts))
	for _, part := range request.Parts {
		request.keys = append(request.keys, request.Model+"/"+request.Adapter+"/"+part.ID)
	}
	return request.keys
}

// memory returns the KV cache that the request takes in the end.
func (request *Request) memory() int { return request.Prompt + request.Output }

// Decision is what Choose returns.
type Decision interface {
	// Missing says whether no target holds or loads the model that is asked for.
	Missing() bool
}

// Outlook is what is foreseen of a request at a target, and by what.
type Outlook struct {
	Wait time.Duration // until the first event
	Age  time.Duration // of the target's report; negative without one
}

type (
	// Send passes the request on to a target now.
	Send struct {
		Target  *directory.Target
		Outlook Outlook
	}
	// Fetch passes the request on once the target holds the adapter.
	Fetch struct {
		Target  *directory.Target
		Outlook Outlook
	}
	// Hold keeps the request until something changes, but not after Until.
	Hold struct {
		Reason Reason
		Until  time.Time
	}
	// Refuse gives the request back; it is worth coming back after After.
	Refuse struct {
		Reason  Reason
		After   time.Duration
		Outlook Outlook // at the best target, where there is one
	}
)

// Missing returns false.
func (Send) Missing() bool { return false }

// Missing returns false.
func (Fetch) Missing() bool { return false }

// Missing says whether no target holds or loads the model.
func (hold Hold) Missing() bool { return hold.Reason == NotResident }

// Missing says whether no target holds or loads the model.
func (refuse Refuse) Missing() bool { return refuse.Reason == NotResident }

// Reason says why a request is not sent.
type Reason string

// The reasons.
const (
	NoTarget    Reason = "no-target"    // the service has no target that takes work
	NotResident Reason = "not-resident" // no target holds the model
	Loading     Reason = "loading"      // a target is loading the model, none holds it
	Saturated   Reason = "saturated"    // no target would begin in time
	TooLarge    Reason = "too-large"    // no target has the memory
)
