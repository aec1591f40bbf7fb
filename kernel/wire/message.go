// Package wire defines the messages that entries and agents exchange, and encodes
// them in the protobuf wire format. Unknown fields are skipped, so that two releases
// can run side by side. Package rpc sends the messages as drpc calls, and package
// datagram sends those of datagram.go over UDP.
package wire

import "time"

// The drpc calls, by the role of the process that answers them.
const (
	CallServe         = "/agent/serve"
	CallRevoke        = "/agent/revoke"
	CallStatus        = "/agent/status"
	CallConfig        = "/peer/config"
	CallLeave         = "/peer/leave"
	CallBorrow        = "/peer/borrow"
	CallShares        = "/peer/shares"
	CallAssign        = "/agent/assign"
	CallMissingModels = "/peer/wanted"
)

// Header is one HTTP header that is forwarded to a target or returned to a caller.
type Header struct {
	Name  string
	Value string
}

// Request asks an agent to run one request at its target.
type Request struct {
	ID          string        // the caller's request ID, unique within the customer
	Nonce       string        // identifies this dispatch of the request
	Customer    string        // empty on routes that need no key
	KeyID       string        // public identifier of the caller's key
	Generation  uint64        // configuration version that the entry routed the request with
	Model       string        // empty for a plain service
	Adapter     string        // empty without an adapter
	Method      string        // HTTP method
	Path        string        // path and query, with API keys removed
	Headers     []Header      // allow-listed headers
	Body        []byte        // request body
	BodyHash    string        // hash of method, path and body
	Idempotent  bool          // may be sent again after a failure
	Stream      bool          // the answer is a token stream
	Priority    int           // a higher priority runs earlier among the requests of the customer
	Weight      int           // the customer's weight in fair queueing
	Tokens      int           // tokens reserved for prompt and answer
	Timeout     time.Duration // time left until the caller's deadline
	Incarnation uint64        // agent incarnation that the request is addressed to; 0 for any
	StartBy     time.Duration // start-by time, counted from the agent's start; 0 for none
	BaseVersion uint64        // object version of the stored record that this dispatch replaces
	ResumeFrom  uint64        // number of tokens that the caller has already received
	Entry       string        // address at which the entry accepts calls of its peers
}

// FrameKind is the part of an answer that a frame carries.
type FrameKind int

// The kinds of frames of an answer, in the order in which they come.
const (
	FrameHead FrameKind = iota + 1
	FrameData
	FrameEnd
	FrameError
	FrameComplete // head, data and end together, for an answer that fits into one frame
)

// Frame is one part of a streamed answer. ID and Nonce identify the dispatch, and
// Position is the index of the frame within the answer.
type Frame struct {
	ID            string
	Nonce         string
	Position      uint64
	Kind          FrameKind
	Status        int
	Headers       []Header
	Data          []byte
	Code          int
	Ran           int
	Message       string
	RetryAfter    time.Duration
	Tokens        int
	RecordVersion uint64 // object version of the stored record, set with some errors
	Load          *Load
}

// RevokeRequest asks an agent never to start a dispatch.
type RevokeRequest struct {
	Nonce       string
	Incarnation uint64
	QueryOnly   bool // report the status without revoking the dispatch
}

// DispatchStatus is the state of a dispatch at its agent.
type DispatchStatus int

// The states of a dispatch. StatusWaiting may still start; StatusNeverStarted did not
// start and will not.
const (
	StatusUnknown DispatchStatus = iota
	StatusNeverStarted
	StatusRunning
	StatusFinished
	StatusLost
	StatusWaiting
)

// RevokeAnswer reports the status of a dispatch, and its outcome once it has finished.
type RevokeAnswer struct {
	DispatchStatus DispatchStatus
	Status         int // HTTP status of the outcome
	ContentType    string
	Body           []byte
	Truncated      bool // the body was too large to be recorded
}

// LeaveNotice tells an entry that a target accepts no new requests.
type LeaveNotice struct {
	Target      string
	Incarnation uint64
}

// Empty is an answer without fields.
type Empty struct{}

// StatusRequest asks an agent for its load.
type StatusRequest struct {
	Generation uint64
	Detail     bool // include the fields that only the planner needs
}

// Load is the load report of an agent and its target.
type Load struct {
	Target      string
	Incarnation uint64
	Uptime      time.Duration // time since the agent's start
	Generation  uint64
	Leaving     bool
	Queued      int
	Running     int
	Slots       int
	FreeMemory  int64
	Resident    []string // models and adapters that are ready to serve
	Sequence    uint64
	PlanVersion uint64      // version of the plan that the agent carries out
	Offered     []ModelWork // work requested since the agent's start; only with Detail
}

// ModelWork is the work requested of a model, in milliseconds of one of the
// target's slots.
type ModelWork struct {
	Model string
	Work  uint64
}

// AssignRequest tells an agent which models the plan assigns to its target.
type AssignRequest struct {
	Version uint64 // version of the plan
	Models  []string
}

// MissingModelsRequest tells the planner which models requests are waiting for.
type MissingModelsRequest struct {
	Models []string
}

// ConfigRequest asks a peer for its configuration if that is newer than
// Generation.
type ConfigRequest struct {
	Generation uint64
}

// ConfigAnswer carries a peer's configuration head, and the rendered document if it
// is newer than the generation in the request.
type ConfigAnswer struct {
	Head     []byte
	Document []byte
	Age      time.Duration // time since Head was last confirmed to be the newest; negative if it never was
}

// BorrowRequest asks another entry to lend some of its tokens of a customer's rate.
type BorrowRequest struct {
	Customer string
	Tokens   int
}

// BorrowAnswer returns the number of tokens lent.
type BorrowAnswer struct {
	Tokens int
}
