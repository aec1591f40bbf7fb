// Package wire holds the messages between the system's own processes and their
// codec. A field that a release does not know is skipped, so that two releases
// can run side by side.
package wire

import "time"

// The calls that an agent answers.
const (
	CallServe  = "/agent/serve"
	CallRevoke = "/agent/revoke"
	CallStatus = "/agent/status"
	CallConfig = "/peer/config"
	CallLeave  = "/peer/leave"
	CallBorrow = "/peer/borrow"
	CallShares = "/peer/shares"
	CallAssign = "/agent/assign"
	CallWanted = "/peer/wanted"
)

// Header is one HTTP header that goes on to a target or back to a caller.
type Header struct {
	Name  string
	Value string
}

// Request asks an agent to run one request at its target.
type Request struct {
	ID          string        // the caller's request ID, scoped by customer
	Nonce       string        // names this dispatch of the request
	Customer    string        // empty on open routes
	KeyID       string        // public name of the caller's key
	Generation  uint64        // configuration that the entry decided by
	Model       string        // empty for a plain service
	Adapter     string        // empty without an adapter
	Method      string        // HTTP method
	Path        string        // path with query, without keys
	Headers     []Header      // allow-listed headers
	Body        []byte        // request body
	BodyHash    string        // hash over method, path and body
	Idempotent  bool          // may be repeated
	Stream      bool          // the answer is a token stream
	Priority    int           // higher runs earlier within its customer
	Weight      int           // the customer's weight in the queue
	Tokens      int           // reserved tokens, prompt and answer
	Timeout     time.Duration // left until the caller's deadline
	Incarnation uint64        // agent incarnation the entry means; 0 for any
	StartBy     time.Duration // latest start on the agent's own clock; 0 for none
	Base        uint64        // version of the record that this dispatch replaces
	ResumeFrom  uint64        // tokens that the caller already has
	Entry       string        // where the entry listens to its peers
}

// FrameKind says what a frame carries.
type FrameKind int

// The kinds of frames of an answer, in the order in which they come.
const (
	FrameHead FrameKind = iota + 1
	FrameData
	FrameEnd
	FrameError
	FrameWhole // head, data and end of an answer that fits into one frame
)

// Frame is one piece of an answer. ID, Nonce and Position tie it to its
// request and place.
type Frame struct {
	ID         string
	Nonce      string
	Position   uint64
	Kind       FrameKind
	Status     int
	Headers    []Header
	Data       []byte
	Code       int
	Ran        int
	Message    string
	RetryAfter time.Duration
	Tokens     int
	Record     uint64 // version of the stored record, with some errors
	Load       *Load
}

// RevokeRequest asks an agent never to start a dispatch.
type RevokeRequest struct {
	Nonce       string
	Incarnation uint64
	AskOnly     bool // tell the fate without revoking
}

// Fate says what became of a dispatch.
type Fate int

// The fates of a dispatch. Never means that it did not start and will not.
const (
	FateUnknown Fate = iota
	FateNever
	FateRunning
	FateFinished
	FateLost
	FateWaiting
)

// RevokeAnswer tells the fate of a dispatch, with the outcome once finished.
type RevokeAnswer struct {
	Fate        Fate
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool // the body was too large to keep
}

// LeaveNotice tells an entry that a target takes no new work.
type LeaveNotice struct {
	Target      string
	Incarnation uint64
}

// Empty is an answer without content.
type Empty struct{}

// StatusRequest asks an agent for its load.
type StatusRequest struct {
	Generation uint64
	Detail     bool // also what planners need
}

// Load is what an agent reports of itself and its target.
type Load struct {
	Target      string
	Incarnation uint64
	Clock       time.Duration // the agent's own clock
	Generation  uint64
	Leaving     bool
	Queued      int
	Running     int
	Slots       int
	FreeMemory  int64
	Resident    []string // models and adapters that can serve now
	Sequence    uint64
	Applied     uint64       // version of the plan that the agent goes by
	Offered     []ModelCount // work offered since the agent's start
}

// ModelCount is the work that was asked of a model, in milliseconds for which
// it takes one of the target's places.
type ModelCount struct {
	Model string
	Work  uint64
}

// AssignRequest tells an agent which models its target is to hold.
type AssignRequest struct {
	Version uint64 // of the plan
	Models  []string
}

// WantedRequest tells the planner of models that requests wait for.
type WantedRequest struct {
	Models []string
}

// ConfigRequest asks a peer for its configuration when that is newer than
// Generation.
type ConfigRequest struct {
	Generation uint64
}

// ConfigAnswer carries a peer's configuration head, and the rendered document
// when it is newer than the one asked about.
type ConfigAnswer struct {
	Head     []byte
	Document []byte
	Age      time.Duration // since the head was known to be the newest; negative for never
}

// BorrowRequest asks another entry for some of a customer's tokens.
type BorrowRequest struct {
	Customer string
	Tokens   int
}

// BorrowAnswer says how many tokens are lent.
type BorrowAnswer struct {
	Tokens int
}
