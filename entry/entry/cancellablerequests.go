package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/config"
)

// cancellableRequests is the set of idempotent requests in flight, which are
// cancelled when their key is withdrawn.
type cancellableRequests struct {
	requests sync.Map // a set of *cancellableRequest
}

// cancellableRequest is one idempotent request in flight.
type cancellableRequest struct {
	keyID     string
	customer  string
	cancel    context.CancelFunc
	withdrawn atomic.Bool
}

// add registers a request. The returned function removes it.
func (cancellableRequests *cancellableRequests) add(call *call, cancel context.CancelFunc) (*cancellableRequest, func()) {
	added := &cancellableRequest{keyID: call.keyID, customer: call.customer.Name(), cancel: cancel}
	cancellableRequests.requests.Store(added, nil)
	return added, func() { cancellableRequests.requests.Delete(added) }
}

// checkStillGranted checks the key of a registered request again, in case it was
// withdrawn between authentication and registration. A later withdrawal finds the
// request in the set.
func (entry *Entry) checkStillGranted(call *call) *code.Fault {
	if call.keyID == "" {
		return nil
	}
	if _, granted := entry.Follower().Document().KeyByID(call.keyID); !granted {
		return code.New(code.KeyUnknown, code.RanNo, "the key is not granted")
	}
	return nil
}

// cancelWithdrawn cancels the requests whose key the configuration no longer grants
// to their customer.
func (cancellableRequests *cancellableRequests) cancelWithdrawn(document *config.Document) {
	cancellableRequests.requests.Range(func(registered, _ any) bool {
		request := registered.(*cancellableRequest)
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
