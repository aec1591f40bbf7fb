// Package wire defines the messages that entries and agents exchange, and encodes
// them in the protobuf wire format. Unknown fields are skipped, so that two releases
// can run side by side. Package rpc sends the messages as drpc calls, and package
// datagram sends those of datagram.go over UDP.
package wire

import "time"

// The paths of the drpc calls. Agents answer the calls under /agent/, and entries those
// under /peer/; agents answer CallConfig too.
const (
	CallServe         = "/agent/serve"   // Request, answered by a stream of Frame
	CallRevoke        = "/agent/revoke"  // RevokeRequest, answered by RevokeAnswer
	CallStatus        = "/agent/status"  // StatusRequest, answered by Load
	CallConfig        = "/peer/config"   // ConfigRequest, answered by ConfigAnswer
	CallLeave         = "/peer/leave"    // LeaveNotice, answered by Empty
	CallBorrow        = "/peer/borrow"   // BorrowRequest, answered by BorrowAnswer
	CallShares        = "/peer/shares"   // Empty in both directions; says that the table of quota shares has changed
	CallAssign        = "/agent/assign"  // AssignRequest, answered by Empty
	CallMissingModels = "/peer/wanted"   // MissingModelsRequest, answered by Empty
	CallRetry         = "/peer/retry"    // RetryRequest, answered by CommandResult
	CallEvidence      = "/peer/evidence" // EvidenceNotice, answered by Empty
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

// The kinds of frames of an answer. A token stream has data frames and an end frame,
// but no head frame.
const (
	FrameHead     FrameKind = iota + 1 // HTTP status and headers
	FrameData                          // a part of the body, or an event of a token stream
	FrameEnd                           // the answer is complete
	FrameError                         // ends an answer that failed; it may be the only frame
	FrameComplete                      // head, data and end together, for an answer that fits into one frame
)

// Frame is one part of a streamed answer. ID and Nonce identify the dispatch, and
// Position is the index of the frame within the answer.
type Frame struct {
	ID            string
	Nonce         string
	Position      uint64
	Kind          FrameKind
	Status        int // HTTP status
	Headers       []Header
	Data          []byte        // part of the body or event of a stream; with RecordVersion, the stored record of the request
	Code          int           // with FrameError, the code.Code
	Ran           int           // with FrameError, the code.Ran
	Message       string        // with FrameError, the text for the caller
	RetryAfter    time.Duration // with FrameError, the delay after which the caller may retry; 0 for none
	Tokens        int           // number of tokens in Data, for a token stream
	RecordVersion uint64        // with FrameError, the object version of a stored record that prevents this dispatch; 0 for none
	Load          *Load         // the agent's load report, nil for none

	// SoftwareVersion is that of the engine that generates a token stream, in its first frame
	// only; empty if the engine states none.
	SoftwareVersion string
}

// RevokeRequest asks an agent never to start a dispatch.
type RevokeRequest struct {
	Nonce       string // of the Request for the dispatch
	Incarnation uint64 // of the agent
	QueryOnly   bool   // report the status without revoking the dispatch
}

// DispatchStatus is the state of a dispatch at its agent.
type DispatchStatus int

// The states of a dispatch. StatusUnknown is the answer when the agent has another
// incarnation, and to a query about a dispatch that the agent does not know.
// StatusWaiting may still start; StatusNeverStarted did not start and will not.
// StatusLost may have run, and its outcome cannot be determined.
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

// Empty is a request or an answer without fields.
type Empty struct{}

// StatusRequest asks an agent for its load.
type StatusRequest struct {
	Generation uint64 // not read by agents
	Detail     bool   // include the fields that only the planner needs
}

// Load is the load report of an agent and its target.
type Load struct {
	Target      string
	Incarnation uint64
	Uptime      time.Duration // time since the agent's start
	Generation  uint64
	Leaving     bool
	Queued      int         // requests
	Running     int         // requests
	Slots       int         // requests that the target runs concurrently
	FreeMemory  int64       // not set by agents
	Resident    []string    // models and adapters that are ready to serve
	Sequence    uint64      // number of the report, rising from the agent's start
	PlanVersion uint64      // version of the plan that the agent carries out; only with Detail
	Offered     []ModelWork // work requested since the agent's start; only with Detail

	SoftwareVersion string // of the engine, empty if it states none
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

// MissingModelsRequest tells the planner for which models a request found no target.
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
	Age      time.Duration // time since Head was last confirmed to be the newest; negative when it is not known to be
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
