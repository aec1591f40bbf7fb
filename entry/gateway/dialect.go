// Package gateway is the entry's way to targets that it calls itself, without
// an agent in the path: it finds a request's route and customer, holds it to
// its customer's rate, chooses a target, passes the answer on, and says truly
// whether a request that got none has run.
package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/dispatch"
)

// Inquiry is what a caller's headers say.
type Inquiry struct {
	ID        string
	Key       string
	Patience  time.Duration // how long the caller waits; 0 when it does not say
	Model     string        // empty for plain services
	Adapter   string
	Prompt    int // tokens
	Output    int // tokens at most
	Parts     []dispatch.Part
	LastEvent string // the last event that the caller has, empty for none
}

// Forward is what the gateway adds to a request on its way to a target.
type Forward struct {
	Customer  string
	Target    string // ID of the start of the target that is meant
	Patience  time.Duration
	Urgency   int    // 0 is the most urgent
	LastEvent string // the last event that the caller has, empty for none
}

// Verdict is what the head of a target's answer says.
type Verdict struct {
	NotRun  bool // the target states that it has not run the request
	Sealed  bool // bears the target's signature
	Encoded bool // the body is encoded, so it is not the target's own
	Lacks   bool // the target is another start, or does not hold the model
}

// Dialect translates between the headers of a platform and the gateway. Its
// implementation keeps no state.
type Dialect interface {
	// ReadyPath is the path by which the platform asks whether the instance
	// takes requests.
	ReadyPath() string
	// ReadRequest reads a caller's headers.
	ReadRequest(header *fasthttp.RequestHeader) (Inquiry, *code.Fault)
	// WriteRequest makes the headers for a target from the caller's, without
	// those that concern one connection, the caller's key, or headers that only
	// the system sets.
	WriteRequest(out, in *fasthttp.RequestHeader, forward Forward)
	// Mine says whether an answer belongs to the request of that ID. Anonymous
	// answers name no request; nothing else may follow on their connection.
	Mine(header *fasthttp.ResponseHeader, id string) (mine, anonymous bool)
	// ReadAnswer reads the head of a target's answer.
	ReadAnswer(header *fasthttp.ResponseHeader) Verdict
	// WriteAnswer copies the head of a target's answer for the caller.
	WriteAnswer(out, in *fasthttp.ResponseHeader)
	// WriteFault writes an answer of the gateway's own.
	WriteFault(out *fasthttp.Response, id string, fault *code.Fault)
}
