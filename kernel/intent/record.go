// Package intent decides when a non-idempotent request may start, so that it
// runs at most once whatever fails. Its machines do no I/O: events and the time
// go in, effects come out, and a driver carries the effects out.
//
// The record of a request in the platform's object API is the only thing that
// entries and agents have to agree on. An agent writes it, conditional on the
// version that its dispatch names, before it starts the request; whoever moves
// the record away from that version first has settled the dispatch.
package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// State says how far a recorded request has come.
type State string

// The states of a record.
const (
	Started  State = "started"  // may be running or may have run
	Finished State = "finished" // ran, and the outcome is known
	Lost     State = "lost"     // may have run, and the outcome will never be known
	Revoked  State = "revoked"  // did not run under the recorded nonce and will not
)

// Outcome is the answer that a request got from its target.
type Outcome struct {
	status      int
	contentType string
	body        []byte
	truncated   bool
}

// NewOutcome returns an outcome; a body over limit bytes is left out and marked.
func NewOutcome(status int, contentType string, body []byte, limit int) Outcome {
	if len(body) > limit {
		return Outcome{status: status, contentType: contentType, truncated: true}
	}
	return Outcome{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status of the answer.
func (outcome Outcome) Status() int { return outcome.status }

// ContentType returns the media type of the answer.
func (outcome Outcome) ContentType() string { return outcome.contentType }

// Body returns the answer's body, nil when it was too large to keep.
func (outcome Outcome) Body() []byte { return outcome.body }

// Truncated says whether the body was too large to keep.
func (outcome Outcome) Truncated() bool { return outcome.truncated }

// Record is what the object API holds on a request.
type Record struct {
	state       State
	nonce       string
	target      string
	incarnation uint64
	bodyHash    string
	outcome     Outcome
}

// NewRecord returns a record of a dispatch.
func NewRecord(state State, dispatch Dispatch) Record {
	return Record{
		state:       state,
		nonce:       dispatch.nonce,
		target:      dispatch.target,
		incarnation: dispatch.incarnation,
		bodyHash:    dispatch.bodyHash,
	}
}

// State says how far the request has come.
func (record Record) State() State { return record.state }

// Nonce names the dispatch that wrote the record last.
func (record Record) Nonce() string { return record.nonce }

// Target returns the target whose agent took the dispatch.
func (record Record) Target() string { return record.target }

// Incarnation returns the agent incarnation that took the dispatch.
func (record Record) Incarnation() uint64 { return record.incarnation }

// BodyHash returns the hash of the recorded request.
func (record Record) BodyHash() string { return record.bodyHash }

// Outcome returns the answer of a finished request.
func (record Record) Outcome() Outcome { return record.outcome }

// With returns a copy of the record in another state.
func (record Record) With(state State) Record {
	record.state = state
	return record
}

// Finish returns a copy of the record that holds the outcome.
func (record Record) Finish(outcome Outcome) Record {
	record.state = Finished
	record.outcome = outcome
	return record
}

type wireRecord struct {
	State       State  `json:"state"`
	Nonce       string `json:"nonce"`
	Target      string `json:"target"`
	Incarnation uint64 `json:"incarnation"`
	BodyHash    string `json:"body_hash"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Truncated   bool   `json:"truncated,omitempty"`
}

// Marshal returns the record as it is stored.
func (record Record) Marshal() ([]byte, error) {
	return json.Marshal(wireRecord{
		State: record.state, Nonce: record.nonce, Target: record.target,
		Incarnation: record.incarnation, BodyHash: record.bodyHash,
		Status: record.outcome.status, ContentType: record.outcome.contentType,
		Body: record.outcome.body, Truncated: record.outcome.truncated,
	})
}

// ParseRecord reads a stored record.
func ParseRecord(data []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return Record{}, errors.Wrap(err, "request record")
	}
	outcome := Outcome{status: wire.Status, contentType: wire.ContentType, body: wire.Body, truncated: wire.Truncated}
	return Record{
		state: wire.State, nonce: wire.Nonce, target: wire.Target,
		incarnation: wire.Incarnation, bodyHash: wire.BodyHash, outcome: outcome,
	}, nil
}

const keyHashBytes = 16

// KeyOf returns the object key of a customer's request. The ID is hashed, so
// that callers cannot choose keys.
func KeyOf(customer, id string) string {
	sum := sha256.Sum256([]byte(id))
	return "requests/" + customer + "/" + hex.EncodeToString(sum[:keyHashBytes])
}

// BodyHash returns the hash that tells two requests of one ID apart.
func BodyHash(method, path string, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(method + "\n" + path + "\n"))
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// Dispatch is one attempt of a request at one agent incarnation.
type Dispatch struct {
	nonce       string
	target      string
	incarnation uint64
	bodyHash    string
	base        uint64
}

// NewDispatch returns a dispatch that replaces the record of version base; zero
// says that there must be none.
func NewDispatch(nonce, target string, incarnation uint64, bodyHash string, base uint64) Dispatch {
	return Dispatch{nonce: nonce, target: target, incarnation: incarnation, bodyHash: bodyHash, base: base}
}

// Nonce names the dispatch.
func (dispatch Dispatch) Nonce() string { return dispatch.nonce }

// Target returns the target whose agent takes the dispatch.
func (dispatch Dispatch) Target() string { return dispatch.target }

// Incarnation returns the agent incarnation that may take the dispatch.
func (dispatch Dispatch) Incarnation() uint64 { return dispatch.incarnation }

// Base returns the version of the record that the dispatch replaces.
func (dispatch Dispatch) Base() uint64 { return dispatch.base }
