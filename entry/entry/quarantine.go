package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"endiverill.example/entry/evidence"
	"endiverill.example/kernel/code"
	"endiverill.example/kernel/quarantine"
	"endiverill.example/kernel/retry"
	"endiverill.example/kernel/wire"
)

const evidenceTimeout = 500 * time.Millisecond // of a notice to another entry

// withheldRequests holds back requests under which targets ended, as package quarantine
// decides. It is safe for concurrent use.
type withheldRequests struct {
	entry      *Entry
	mu         sync.Mutex // guards the field below
	quarantine *quarantine.Quarantine
}

func newWithheldRequests(entry *Entry) *withheldRequests {
	return &withheldRequests{entry: entry, quarantine: quarantine.New()}
}

// identityOf returns the identity of a request to a target.
func identityOf(request *wire.Request) []quarantine.Part {
	return []quarantine.Part{evidence.Identity([]byte(request.Customer), []byte(request.Method), []byte(request.Path), request.Body)}
}

// check returns a fault for a request that is withheld, and records that one of a suspected
// identity is tried. Ran is what is known of whether the request ran.
func (withheldRequests *withheldRequests) check(identity []quarantine.Part, ran code.Ran) *code.Fault {
	entry := withheldRequests.entry
	now := entry.Clock().Now()
	withheldRequests.mu.Lock()
	verdict := withheldRequests.quarantine.Check(identity, entry.planner.address() == entry.peerAddress, now)
	if verdict.Trial {
		withheldRequests.quarantine.BeginTrial(identity, now)
	}
	withheldRequests.mu.Unlock()
	switch {
	case !verdict.Allowed:
		entry.Metrics().Add("requests.withheld", 1)
		return code.New(code.RequestWithheld, ran, "%d targets have ended under the request", verdict.Ends).
			WithRetryAfter(retry.Spread(verdict.RetryAfter, rand.Float64()))
	case verdict.Trial:
		withheldRequests.notifyPeers()
	}
	return nil
}

// recordOutcome records how an attempt of a request ended: without a fault if a target has
// answered. Target is empty if none was chosen.
func (withheldRequests *withheldRequests) recordOutcome(identity []quarantine.Part, request *wire.Request, target string, fault *code.Fault) {
	entry := withheldRequests.entry
	now := entry.Clock().Now()
	changed := false
	withheldRequests.mu.Lock()
	switch {
	case fault == nil:
		changed = withheldRequests.quarantine.RecordBegun(identity, now)
	case fault.Code() == code.TargetEnded: // the fault does not name the incarnation, so that each end counts by its time
		withheldRequests.quarantine.RecordEnd(identity, evidence.TargetHash(target, now.UnixNano()), now, now)
		changed = true
	default:
		withheldRequests.quarantine.ReleaseTrial(identity)
	}
	withheldRequests.mu.Unlock()
	if fault != nil && changed {
		entry.Metrics().Add("targets.ended", 1)
		entry.log.Infof("target %s ended under request %q, identity %x is suspected", target, request.ID, uint64(identity[0]))
	}
	if changed {
		withheldRequests.notifyPeers()
	}
}

// notifyPeers sends the other entries what this one knows, without waiting for them.
func (withheldRequests *withheldRequests) notifyPeers() {
	entry := withheldRequests.entry
	withheldRequests.mu.Lock()
	report := withheldRequests.quarantine.Report(entry.Clock().Now())
	withheldRequests.mu.Unlock()
	notice := &wire.EvidenceNotice{Entry: entry.peerAddress, Suspects: evidence.Encode(report)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), evidenceTimeout)
		defer cancel()
		var group errgroup.Group
		for _, address := range entry.quota.Peers() {
			group.Go(func() error { return entry.Links().Invoke(ctx, address, wire.CallEvidence, notice, &wire.Empty{}) })
		}
		if err := group.Wait(); err != nil {
			entry.Metrics().Add("evidence.errors", 1)
			entry.log.Debugf("an entry was not told of requests under which targets ended: %v", err)
		}
	}()
}

// handleEvidence records what another entry knows.
func (entry *Entry) handleEvidence(_ context.Context, notice *wire.EvidenceNotice) (*wire.Empty, error) {
	entry.withheld.mu.Lock()
	defer entry.withheld.mu.Unlock()
	entry.withheld.quarantine.Apply(notice.Entry, evidence.Decode(notice.Suspects), entry.Clock().Now())
	return &wire.Empty{}, nil
}
