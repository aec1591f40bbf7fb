package entry

import (
	"sync"
	"time"

	"endiverill.example/kernel/burn"
	"endiverill.example/kernel/code"
)

const decisionLogSize = 4096 // requests

// The service level objective of streamed requests. Package burn computes the rate at
// which its error budget is consumed.
const (
	firstTokenLimit    = 450 * time.Millisecond
	tokenGapLimit      = 78 * time.Millisecond
	maxLongGapFraction = 0.05 // fraction of gaps that may exceed tokenGapLimit
)

// decision describes how a request for text generation was served, as operators see
// it.
type decision struct {
	ID         string    `json:"id"`
	At         time.Time `json:"at"`
	Customer   string    `json:"customer"`
	Key        string    `json:"key"`
	Model      string    `json:"model,omitempty"`
	Targets    []string  `json:"targets"`
	Tokens     int       `json:"tokens"`
	Code       string    `json:"code"`
	Ran        string    `json:"ran"`
	Generation uint64    `json:"generation"`
	FirstToken string    `json:"first_token,omitempty"`
}

// decisionLog keeps the decisions of the most recent requests for text generation, and
// measures the service level. Requests that were refused before the customer's rate was
// checked, such as malformed ones, are left out of both.
type decisionLog struct {
	mu       sync.Mutex
	ring     [decisionLogSize]*decision
	nextSlot int
	byID     map[string]*decision
	meter    *burn.Meter
}

func newDecisionLog() *decisionLog {
	return &decisionLog{byID: map[string]*decision{}, meter: burn.NewMeter()}
}

// add records a decision. If the log is full, it evicts the oldest one.
func (decisionLog *decisionLog) add(added *decision) {
	decisionLog.mu.Lock()
	defer decisionLog.mu.Unlock()
	if oldest := decisionLog.ring[decisionLog.nextSlot]; oldest != nil && decisionLog.byID[oldest.ID] == oldest {
		delete(decisionLog.byID, oldest.ID)
	}
	decisionLog.ring[decisionLog.nextSlot] = added
	decisionLog.byID[added.ID] = added
	decisionLog.nextSlot = (decisionLog.nextSlot + 1) % decisionLogSize
}

// find returns the decision of a request if the log still holds it.
func (decisionLog *decisionLog) find(id string) (*decision, bool) {
	decisionLog.mu.Lock()
	defer decisionLog.mu.Unlock()
	found, kept := decisionLog.byID[id]
	return found, kept
}

// recordServiceLevel counts a request towards the service level of its customer and
// model. The cause of a miss is empty if the request met the objective.
func (decisionLog *decisionLog) recordServiceLevel(key burn.Key, cause string, now time.Time) {
	decisionLog.mu.Lock()
	defer decisionLog.mu.Unlock()
	decisionLog.meter.Record(key, cause, now)
}

func (decisionLog *decisionLog) burnRows(now time.Time) []burn.Row {
	decisionLog.mu.Lock()
	defer decisionLog.mu.Unlock()
	return decisionLog.meter.Rows(now)
}

// tokenTiming measures the delay of a stream's first token and the gaps between
// tokens.
type tokenTiming struct {
	firstToken  time.Duration
	lastTokenAt time.Time
	gaps        int
	longGaps    int
}

func (tokenTiming *tokenTiming) recordToken(receivedAt, now time.Time) {
	if tokenTiming.lastTokenAt.IsZero() {
		tokenTiming.firstToken = now.Sub(receivedAt)
	} else {
		tokenTiming.gaps++
		if now.Sub(tokenTiming.lastTokenAt) > tokenGapLimit {
			tokenTiming.longGaps++
		}
	}
	tokenTiming.lastTokenAt = now
}

// missCause returns why a request missed the service level objective, empty if it met
// the objective. Requests above the customer's own rate, and those whose caller
// disconnected, count as having met it. A request that is not streamed
// has no token times, so only a fault counts as a miss.
func (tokenTiming *tokenTiming) missCause(err *code.Fault) string {
	switch {
	case err != nil && err.Code() == code.RateExceeded, err != nil && err.Code() == code.CallerGone:
		return ""
	case err != nil:
		return err.Code().String()
	case tokenTiming.firstToken > firstTokenLimit:
		return "first-token-late"
	case float64(tokenTiming.longGaps) > maxLongGapFraction*float64(tokenTiming.gaps):
		return "tokens-slow"
	default:
		return ""
	}
}
