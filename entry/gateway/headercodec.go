// Package gateway is a reverse proxy for targets that the entry calls directly,
// without an agent in the path. It finds a request's route and customer, enforces
// the customer's rate, has package dispatch choose a target, and relays the
// response; a request without a response fails with a code and with what is known
// of whether it ran. It keeps the configuration and the list of targets current,
// exchanges state with other entries and with agents, and, while it holds the
// planning lease, has models loaded as package residency plans. The headers of a
// platform are left to a HeaderCodec, connections to targets to package exchange.
package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/dispatch"
)

// RequestHead holds what the gateway reads from a caller's request headers.
type RequestHead struct {
	ID        string
	Key       string        // the customer's key, empty when the caller sends none
	Timeout   time.Duration // the caller's timeout, 0 when it states none
	Model     string        // empty for plain services
	Adapter   string
	Prompt    int             // tokens
	Output    int             // tokens, upper bound
	Parts     []dispatch.Part // parts of the prompt, for matching with the targets' prefix caches
	LastEvent string          // ID of the last event that the caller received, empty for none
	Resumes   string          // ID of the caller's attempt that brought the first event of the stream that this one takes up, empty for none
}

// ForwardHeaders holds what the gateway adds to the headers of a request to a target.
type ForwardHeaders struct {
	Customer  string
	Target    string        // ID of the intended incarnation of the target
	Timeout   time.Duration // time left until the deadline
	Urgency   int           // 0 is the most urgent
	LastEvent string        // ID of the last event that the caller received, empty for none
}

// ResponseHead holds what the gateway reads from the header of a target's response.
type ResponseHead struct {
	NotRun      bool          // the target states that it has not run the request
	Sealed      bool          // carries the target's signature
	Encoded     bool          // the body has a content encoding; targets use none, so it was changed on the way
	Misdirected bool          // the target is another incarnation or does not hold the model
	Rest        time.Duration // for which the target, which has turned the request away, asks this instance for no further ones; 0 for none
	Leaving     bool          // the target states that it leaves
	Limited     bool          // the target states a limit
	Limit       float64       // requests a second that the target takes from all entries together, if Limited
}

// HeaderCodec reads and writes the HTTP headers of a platform. An implementation
// keeps no state.
type HeaderCodec interface {
	// ReadyPath returns the path of the platform's readiness probe.
	ReadyPath() string
	// ReadRequest reads the headers of a caller's request. It returns a fault if
	// they are invalid.
	ReadRequest(header *fasthttp.RequestHeader) (RequestHead, *code.Fault)
	// WriteRequest derives the headers of the request to a target from the
	// caller's. It omits hop-by-hop headers, the caller's key, and headers that
	// only the system may set.
	WriteRequest(out, in *fasthttp.RequestHeader, forwardHeaders ForwardHeaders)
	// Matches reports whether a response belongs to the request with the ID. An
	// anonymous response names no request, and its connection must not be reused.
	Matches(header *fasthttp.ResponseHeader, id string) (matches, anonymous bool)
	// ReadResponse reads the header of a target's response.
	ReadResponse(header *fasthttp.ResponseHeader) ResponseHead
	// WriteResponse copies the header of a target's response for the caller.
	WriteResponse(out, in *fasthttp.ResponseHeader)
	// WriteFault writes an error response of the gateway itself.
	WriteFault(out *fasthttp.Response, id string, fault *code.Fault)
}
