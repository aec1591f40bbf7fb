package entry

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/intent"
	"endiverill.example/kernel/wire"
)

type requestStatus struct {
	RequestID string `json:"request_id"`
	Ran       string `json:"ran"`
	State     string `json:"state"`
	Status    int    `json:"status,omitempty"`
	Target    string `json:"target,omitempty"`
}

// handleRequestStatus answers a customer's query for the state of one of its own
// non-idempotent requests, by the request ID. Other requests have no record.
func (entry *Entry) handleRequestStatus(ctx *fasthttp.RequestCtx, id string) *code.Fault {
	if !ctx.IsGet() {
		return code.New(code.MethodRefused, code.RanNo, "the path takes GET")
	}
	caller, err := entry.authenticate(ctx)
	if err != nil {
		return err
	}
	if !validID(id) {
		return code.New(code.InvalidID, code.RanNo, "the path does not end in a request ID")
	}
	result, record, _ := intent.Read(entry.Store(), entry.limits.storeTimeout, intent.Key(caller.customer.Name(), id))
	switch result {
	case intent.Absent:
		return code.New(code.UnknownRequest, code.RanUnknown, "no request of that ID is on record; it may still be waiting")
	case intent.ReadFailed:
		return code.New(code.StoreDown, code.RanUnknown, "the object API does not answer").WithRetryAfter(unavailableRetryAfter)
	}
	state, ran := entry.recordStatus(record)
	data, encodeErr := json.Marshal(requestStatus{RequestID: id, Ran: ran.String(), State: state, Status: record.Outcome().Status(), Target: record.Target()})
	if encodeErr != nil {
		return code.New(code.Internal, code.RanUnknown, "the fate cannot be encoded")
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerRequestID, id)
	setResultHeaders(ctx, code.OK, ran)
	ctx.SetStatusCode(fasthttp.StatusOK)
	ctx.SetBody(data)
	return nil
}

// recordStatus returns the state of the request of an intent record, and whether it
// ran. It queries the agent that holds the request if the record has no outcome.
func (entry *Entry) recordStatus(record intent.Record) (string, code.Ran) {
	switch record.State() {
	case intent.Finished:
		return "finished", code.RanYes
	case intent.Revoked:
		return "not run", code.RanNo
	case intent.Lost:
		return "outcome lost", code.RanUnknown
	}
	target, ok := entry.Follower().Document().Target(record.Target())
	if !ok {
		return "unknown", code.RanUnknown
	}
	request := &wire.RevokeRequest{Nonce: record.Nonce(), Incarnation: record.Incarnation(), QueryOnly: true}
	switch status, _ := entry.queryDispatchStatus(context.Background(), target.Agent(), request); status {
	case intent.StatusFinished:
		return "finished", code.RanYes
	case intent.StatusNeverStarted:
		return "not run", code.RanNo
	case intent.StatusRunning:
		return "running", code.RanYes
	default:
		return "unknown", code.RanUnknown
	}
}
