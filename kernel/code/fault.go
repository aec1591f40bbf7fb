package code

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Ran says whether a request had an effect at its target.
type Ran int

// The three answers to "did it run?". The zero value claims nothing.
const (
	RanUnknown Ran = iota
	RanNo
	RanYes
)

// String returns the header value of ran.
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

// Fault is a result that is not an answer.
type Fault struct {
	code       Code
	ran        Ran
	message    string
	retryAfter time.Duration
}

// New returns an error of the code that says whether the request ran.
func New(code Code, ran Ran, format string, args ...any) *Fault {
	return &Fault{code: code, ran: ran, message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (fault *Fault) WithRetryAfter(after time.Duration) *Fault {
	other := *fault
	other.retryAfter = after
	return &other
}

// WithRan returns a copy that says ran.
func (fault *Fault) WithRan(ran Ran) *Fault {
	other := *fault
	other.ran = ran
	return &other
}

// Code returns the number of the result.
func (fault *Fault) Code() Code { return fault.code }

// Ran says whether the request ran.
func (fault *Fault) Ran() Ran { return fault.ran }

// Message returns the sentence for the caller, without the code.
func (fault *Fault) Message() string { return fault.message }

// RetryAfter returns when the caller may come back; zero says nothing.
func (fault *Fault) RetryAfter() time.Duration { return fault.retryAfter }

// Error returns the number, the name and the message.
func (fault *Fault) Error() string {
	return fmt.Sprintf("%d %s: %s", int(fault.code), fault.code, fault.message)
}

// From finds the coded error in a chain; an error without one becomes Internal
// and claims nothing about whether the request ran.
func From(err error) *Fault {
	var coded *Fault
	if errors.As(err, &coded) {
		return coded
	}
	return New(Internal, RanUnknown, "%v", err)
}
