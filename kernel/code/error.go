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

// Error is a result that is not an answer.
type Error struct {
	code       Code
	ran        Ran
	message    string
	retryAfter time.Duration
}

// New returns an error of the code that says whether the request ran.
func New(code Code, ran Ran, format string, args ...any) *Error {
	return &Error{code: code, ran: ran, message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (err *Error) WithRetryAfter(after time.Duration) *Error {
	other := *err
	other.retryAfter = after
	return &other
}

// WithRan returns a copy that says ran.
func (err *Error) WithRan(ran Ran) *Error {
	other := *err
	other.ran = ran
	return &other
}

// Code returns the number of the result.
func (err *Error) Code() Code { return err.code }

// Ran says whether the request ran.
func (err *Error) Ran() Ran { return err.ran }

// Message returns the sentence for the caller, without the code.
func (err *Error) Message() string { return err.message }

// RetryAfter returns when the caller may come back; zero says nothing.
func (err *Error) RetryAfter() time.Duration { return err.retryAfter }

// Error returns the number, the name and the message.
func (err *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", int(err.code), err.code, err.message)
}

// From finds the coded error in a chain; an error without one becomes Internal
// and claims nothing about whether the request ran.
func From(err error) *Error {
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return New(Internal, RanUnknown, "%v", err)
}
