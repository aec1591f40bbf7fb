package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/entry/evidence"
	"endiverill.example/kernel/code"
	"endiverill.example/kernel/wire"
)

func TestRequestThatEndsTargetsIsSentToOneAfterTheOther(t *testing.T) {
	first := newIdleEntry(t).withheld
	second := newWithheldRequests(first.entry)
	second.entry = &Entry{Instance: first.entry.Instance, planner: first.entry.planner, withheld: second}
	request := &wire.Request{ID: "1", Customer: "c", Method: "GET", Path: "/x"}
	identity := identityOf(request)
	ended := code.New(code.TargetEnded, code.RanUnknown, "ended")
	sends := 0
	for range 10 {
		if first.check(identity, code.RanNo) == nil {
			sends++
			first.recordOutcome(identity, request, "t", ended)
		}
	}
	assert.Equal(t, sends, 2)
	fault := first.check(identity, code.RanUnknown)
	assert.Equal(t, fault.Code(), code.RequestWithheld)
	assert.Equal(t, fault.Ran(), code.RanUnknown, "an attempt of the request has run")
	assert.Assert(t, fault.RetryAfter() > time.Second)
	other := &wire.Request{ID: "2", Customer: "d", Method: "GET", Path: "/x"}
	assert.Assert(t, first.check(identityOf(other), code.RanNo) == nil, "another caller's request")

	report := first.quarantine.Report(first.entry.Clock().Now())
	_, err := second.entry.handleEvidence(context.Background(), &wire.EvidenceNotice{Entry: "first", Suspects: evidence.Encode(report)})
	assert.NilError(t, err)
	assert.Equal(t, second.check(identity, code.RanNo).Code(), code.RequestWithheld, "an entry that was told")
}

func TestSoundRequestIsWithheldAfterEndsOfItsTargets(t *testing.T) {
	withheld := newIdleEntry(t).withheld
	request := &wire.Request{ID: "1", Customer: "c", Method: "GET", Path: "/x"}
	identity := identityOf(request)
	for range 5 {
		assert.Assert(t, withheld.check(identity, code.RanNo) == nil)
		withheld.recordOutcome(identity, request, "t", code.New(code.TargetEnded, code.RanUnknown, "ended"))
		assert.Assert(t, withheld.check(identity, code.RanNo) == nil)
		withheld.recordOutcome(identity, request, "t", nil)
	}
}
