package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/config"
)

// running are the idempotent requests under way, so that the withdrawal of a
// key ends them.
type running struct {
	requests sync.Map // *ticket to nothing
}

// ticket is one idempotent request under way.
type ticket struct {
	keyID     string
	customer  string
	cancel    context.CancelFunc
	withdrawn atomic.Bool
}

// add registers a request; the returned function takes it out again.
func (running *running) add(call *call, cancel context.CancelFunc) (*ticket, func()) {
	added := &ticket{keyID: call.keyID, customer: call.customer.Name(), cancel: cancel}
	running.requests.Store(added, nil)
	return added, func() { running.requests.Delete(added) }
}

// stillGranted checks the key of a tracked request once more: a withdrawal after
// this moment finds the request in the list.
func (entry *Entry) stillGranted(call *call) *code.Fault {
	if call.keyID == "" {
		return nil
	}
	if _, granted := entry.Follower().Document().KeyByID(call.keyID); !granted {
		return code.New(code.KeyUnknown, code.RanNo, "the key is not granted")
	}
	return nil
}

// endWithdrawn cancels the requests whose key a configuration no longer grants.
func (running *running) endWithdrawn(document *config.Document) {
	running.requests.Range(func(stored, _ any) bool {
		request := stored.(*ticket)
		if request.keyID == "" {
			return true
		}
		key, granted := document.KeyByID(request.keyID)
		if !granted || key.Customer() != request.customer {
			request.withdrawn.Store(true)
			request.cancel()
		}
		return true
	})
}
