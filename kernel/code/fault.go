package code

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Ran says whether a request ran at its target, and so may have had an effect there.
type Ran int

// The values of Ran. RanUnknown is the zero value, so that a Fault whose Ran was not
// set does not state that the request did not run.
const (
	RanUnknown Ran = iota
	RanNo
	RanYes
)

// String returns the value as it is sent in the Endiverill-Ran header.
func (ran Ran) String() string {
	switch ran {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Fault is the error of a request that got no regular answer. It carries the result
// code and says whether the request ran.
type Fault struct {
	code       Code
	ran        Ran
	message    string
	retryAfter time.Duration
}

// New returns a fault whose message is formatted as by fmt.Sprintf.
func New(code Code, ran Ran, format string, args ...any) *Fault {
	return &Fault{code: code, ran: ran, message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy that tells the caller to retry after a delay.
func (fault *Fault) WithRetryAfter(after time.Duration) *Fault {
	changed := *fault
	changed.retryAfter = after
	return &changed
}

// WithRan returns a copy with another value of Ran.
func (fault *Fault) WithRan(ran Ran) *Fault {
	changed := *fault
	changed.ran = ran
	return &changed
}

// Code returns the result code.
func (fault *Fault) Code() Code { return fault.code }

// Ran says whether the request ran.
func (fault *Fault) Ran() Ran { return fault.ran }

// Message returns the text for the caller, without number and name of the code.
func (fault *Fault) Message() string { return fault.message }

// RetryAfter returns the delay after which the caller may retry, or 0 when none is set.
func (fault *Fault) RetryAfter() time.Duration { return fault.retryAfter }

// Error returns number and name of the code, and the message.
func (fault *Fault) Error() string {
	return fmt.Sprintf("%d %s: %s", int(fault.code), fault.code, fault.message)
}

// From returns the first Fault in the chain of err. Without one it returns a Fault with
// code Internal and RanUnknown.
func From(err error) *Fault {
	var fault *Fault
	if errors.As(err, &fault) {
		return fault
	}
	return New(Internal, RanUnknown, "%v", err)
}
