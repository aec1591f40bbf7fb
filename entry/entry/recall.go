package entry

import (
	"sync"
	"time"

	"endiverill.example/kernel/burn"
	"endiverill.example/kernel/code"
)

const recalled = 4096 // requests whose decisions can be explained

// The service level that burn is told against.
const (
	firstTokenLimit = 450 * time.Millisecond
	tokenGapLimit   = 78 * time.Millisecond
	gapsAllowed     = 0.05 // part of the gaps that may be longer
)

// decision is how a request was served.
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

// recall keeps the last decisions and the service level of all of them.
type recall struct {
	mu    sync.Mutex
	ring  [recalled]*decision
	next  int
	byID  map[string]*decision
	meter *burn.Meter
}

func newRecall() *recall {
	return &recall{byID: map[string]*decision{}, meter: burn.NewMeter()}
}

// add keeps a decision in place of the oldest one.
func (recall *recall) add(made *decision) {
	recall.mu.Lock()
	defer recall.mu.Unlock()
	if old := recall.ring[recall.next]; old != nil && recall.byID[old.ID] == old {
		delete(recall.byID, old.ID)
	}
	recall.ring[recall.next] = made
	recall.byID[made.ID] = made
	recall.next = (recall.next + 1) % recalled
}

// find returns the decision on a request, if it is still kept.
func (recall *recall) find(id string) (*decision, bool) {
	recall.mu.Lock()
	defer recall.mu.Unlock()
	found, kept := recall.byID[id]
	return found, kept
}

// measure counts a request towards its service level.
func (recall *recall) measure(key burn.Key, cause string, now time.Time) {
	recall.mu.Lock()
	defer recall.mu.Unlock()
	recall.meter.Record(key, cause, now)
}

func (recall *recall) rows(now time.Time) []burn.Row {
	recall.mu.Lock()
	defer recall.mu.Unlock()
	return recall.meter.Rows(now)
}

// pace follows the times of a stream's tokens.
type pace struct {
	first time.Duration
	last  time.Time
	gaps  int
	long  int
}

func (pace *pace) token(begun, now time.Time) {
	if pace.last.IsZero() {
		pace.first = now.Sub(begun)
	} else {
		pace.gaps++
		if now.Sub(pace.last) > tokenGapLimit {
			pace.long++
		}
	}
	pace.last = now
}

// cause says why a request missed its service level, empty when it did not. A
// refusal beyond the customer's own rate does not count.
func (pace *pace) cause(err *code.Fault) string {
	switch {
	case err != nil && err.Code() == code.RateExceeded, err != nil && err.Code() == code.CallerGone:
		return ""
	case err != nil:
		return err.Code().String()
	case pace.first > firstTokenLimit:
		return "first-token-late"
	case float64(pace.long) > gapsAllowed*float64(pace.gaps):
		return "tokens-slow"
	default:
		return ""
	}
}
