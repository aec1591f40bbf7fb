// Package intent decides when a non-idempotent request may start, so that it
// runs at most once under any combination of failures. Coordinator is the state
// machine of an entry and Starter that of an agent. They take events and the
// time, do no I/O, and return effects that a driver in package entry or agent
// carries out. The entry's driver chooses the target. Write and Read access the
// object API for the drivers.
//
// Entries and agents agree only through the record of the request in the
// platform's object API. Before an agent starts a request, it writes the record
// in state Started, the intent, on the condition that the stored version is the
// base version of its dispatch. At most one write can replace that version. The
// dispatch may start only if this is the write of its intent.
package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// State is the progress of a recorded request.
type State string

// The states of a record.
const (
	Started  State = "started"  // may be running or may have run
	Finished State = "finished" // ran, and the outcome is recorded
	Lost     State = "lost"     // may have run, and the outcome cannot be determined
	Revoked  State = "revoked"  // has not run under the recorded nonce and never will
)

// Outcome is the answer of a target to a request.
type Outcome struct {
	status      int
	contentType string
	body        []byte
	truncated   bool
}

// NewOutcome returns an outcome. A body of more than limit bytes is dropped, and
// the outcome is marked as truncated.
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

// Body returns the body of the answer, or nil if it exceeded the size limit.
func (outcome Outcome) Body() []byte { return outcome.body }

// Truncated reports whether the body was dropped because of its size.
func (outcome Outcome) Truncated() bool { return outcome.truncated }

// Record is the stored state of a request in the object API.
type Record struct {
	state       State
	nonce       string
	target      string
	incarnation uint64
	bodyHash    string
	outcome     Outcome
}

// NewRecord returns a record of dispatch in the given state, without an outcome.
func NewRecord(state State, dispatch Dispatch) Record {
	return Record{
		state:       state,
		nonce:       dispatch.nonce,
		target:      dispatch.target,
		incarnation: dispatch.incarnation,
		bodyHash:    dispatch.bodyHash,
	}
}

// State returns the progress of the request.
func (record Record) State() State { return record.state }

// Nonce returns the nonce of the dispatch that last wrote the record. In a record that
// an entry wrote to revoke a dispatch, it is derived from the nonce of that dispatch.
func (record Record) Nonce() string { return record.nonce }

// Target returns the target whose agent accepted the dispatch, empty in a record that an
// entry wrote to revoke it.
func (record Record) Target() string { return record.target }

// Incarnation returns the incarnation of the agent that accepted the dispatch, 0 in a
// record that an entry wrote to revoke it.
func (record Record) Incarnation() uint64 { return record.incarnation }

// BodyHash returns the hash of the recorded request, as the function BodyHash
// computes it.
func (record Record) BodyHash() string { return record.bodyHash }

// Outcome returns the answer of a finished request.
func (record Record) Outcome() Outcome { return record.outcome }

// With returns a copy of the record in the given state.
func (record Record) With(state State) Record {
	record.state = state
	return record
}

// Finish returns a copy of the record in state Finished with the given outcome.
func (record Record) Finish(outcome Outcome) Record {
	record.state = Finished
	record.outcome = outcome
	return record
}

// storedRecord is the stored form of a Record.
type storedRecord struct {
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

// Marshal encodes the record in its stored form.
func (record Record) Marshal() ([]byte, error) {
	return json.Marshal(storedRecord{
		State: record.state, Nonce: record.nonce, Target: record.target,
		Incarnation: record.incarnation, BodyHash: record.bodyHash,
		Status: record.outcome.status, ContentType: record.outcome.contentType,
		Body: record.outcome.body, Truncated: record.outcome.truncated,
	})
}

// ParseRecord decodes a stored record.
func ParseRecord(data []byte) (Record, error) {
	var stored storedRecord
	if err := json.Unmarshal(data, &stored); err != nil {
		return Record{}, errors.Wrap(err, "decoding the record of a request")
	}
	outcome := Outcome{status: stored.Status, contentType: stored.ContentType, body: stored.Body, truncated: stored.Truncated}
	return Record{
		state: stored.State, nonce: stored.Nonce, target: stored.Target,
		incarnation: stored.Incarnation, bodyHash: stored.BodyHash, outcome: outcome,
	}, nil
}

const keyHashBytes = 16

// Key returns the object key of the record of a customer's request. The ID is
// hashed, so that a request cannot choose its key.
func Key(customer, id string) string {
	sum := sha256.Sum256([]byte(id))
	return "requests/" + customer + "/" + hex.EncodeToString(sum[:keyHashBytes])
}

// BodyHash returns a hash of method, path and body in hexadecimal, which
// distinguishes two requests with the same ID.
func BodyHash(method, path string, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(method + "\n" + path + "\n"))
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// Dispatch is one attempt to run a request, addressed to one incarnation of an
// agent.
type Dispatch struct {
	nonce       string
	target      string
	incarnation uint64
	bodyHash    string
	baseVersion uint64
}

// NewDispatch returns a dispatch that may start only if the stored version of the
// record is baseVersion; 0 requires that there is no record.
func NewDispatch(nonce, target string, incarnation uint64, bodyHash string, baseVersion uint64) Dispatch {
	return Dispatch{nonce: nonce, target: target, incarnation: incarnation, bodyHash: bodyHash, baseVersion: baseVersion}
}

// Nonce returns the unique name of the dispatch.
func (dispatch Dispatch) Nonce() string { return dispatch.nonce }

// Target returns the target whose agent receives the dispatch.
func (dispatch Dispatch) Target() string { return dispatch.target }

// Incarnation returns the incarnation of the agent that may accept the dispatch.
func (dispatch Dispatch) Incarnation() uint64 { return dispatch.incarnation }

// BaseVersion returns the version of the record that the dispatch replaces, 0 for
// none.
func (dispatch Dispatch) BaseVersion() uint64 { return dispatch.baseVersion }
