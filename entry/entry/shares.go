package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/config"
	"endiverill.example/kernel/object"
	"endiverill.example/kernel/quota"
	"endiverill.example/kernel/wire"
)

// shares is the quota plug-in that holds a share of every rate. It renews the share
// in a table in the object API, by the rules of quota.Share, and borrows tokens from
// other entries when its own are exhausted.
type shares struct {
	*limiter
	share             *quota.Share // guarded by limiter.mu
	peers             atomic.Pointer[[]string]
	createdTable      bool // this entry created the table; before that no entry could admit requests; guarded by limiter.mu
	bucketsFilled     bool // guarded by limiter.mu
	borrowMu          sync.Mutex
	borrowPausedUntil map[string]time.Time // by customer
	tableKey          string
}

func newShares(entry *Entry) *shares {
	shares := &shares{limiter: newLimiter(entry), borrowPausedUntil: map[string]time.Time{}}
	shares.tableKey = "quota/" + entry.Values().String("site") + "/shares"
	shares.peers.Store(&[]string{})
	return shares
}

func (shares *shares) shareParams() quota.ShareParams {
	values := shares.entry.Values()
	return quota.ShareParams{
		Name:             shares.entry.Name() + "/" + strconv.FormatUint(shares.entry.Incarnation(), 36),
		Address:          shares.entry.peerAddress,
		MinHold:          values.Duration("quota.hold"),
		HoldPerEntry:     values.Duration("quota.hold_per_entry"),
		StandingHold:     values.Duration("quota.standing_hold"),
		StandingMinAge:   values.Duration("quota.seasoning"),
		StandingFraction: float64(values.Int("quota.standing_percent")) / 100,
		Drift:            clockDrift(shares.entry),
	}
}

const shareTickInterval = 100 * time.Millisecond

// Run renews the share until ctx ends.
func (shares *shares) Run(ctx context.Context) error {
	shares.mu.Lock()
	shares.share = quota.NewShare(shares.shareParams(), shares.entry.Clock().Now())
	shares.mu.Unlock()
	for ctx.Err() == nil {
		shares.execute(ctx, shares.step(func(share *quota.Share, now time.Time) []quota.ShareEffect { return share.Tick(now) }))
		shares.entry.sleep(ctx, shareTickInterval)
	}
	return nil
}

// step calls advance with the state machine of the share. It sets the limiter's units
// before it returns the effects, so that a share is never given up while the limiter
// still uses it.
func (shares *shares) step(advance func(share *quota.Share, now time.Time) []quota.ShareEffect) []quota.ShareEffect {
	shares.mu.Lock()
	defer shares.mu.Unlock()
	if shares.share == nil {
		return nil
	}
	now := shares.entry.Clock().Now()
	effects := advance(shares.share, now)
	shares.limiter.inner.SetUnits(shares.share.Units(), now)
	var peers []string
	for _, holder := range shares.share.Table().Holders() {
		if holder.Address() != shares.entry.peerAddress {
			peers = append(peers, holder.Address())
		}
	}
	shares.peers.Store(&peers)
	return effects
}

func (shares *shares) execute(ctx context.Context, effects []quota.ShareEffect) {
	for len(effects) > 0 {
		var next []quota.ShareEffect
		switch effect := effects[0].(type) {
		case quota.ReadTable:
			next = shares.readTable(ctx)
		case quota.WriteTable:
			next = shares.writeTable(ctx, effect)
		}
		effects = append(next, effects[1:]...)
	}
}

func (shares *shares) readTable(ctx context.Context) []quota.ShareEffect {
	ctx, cancel := context.WithTimeout(ctx, shares.entry.limits.storeTimeout)
	defer cancel()
	found, err := shares.entry.Store().Get(ctx, "quota", shares.tableKey)
	absent := errors.Is(err, object.ErrNotFound)
	var table quota.Table
	if err == nil {
		table, err = quota.ParseTable(found.Value())
	}
	failed := err != nil && !absent
	return shares.step(func(share *quota.Share, now time.Time) []quota.ShareEffect {
		return share.TableRead(now, table, found.Version(), failed)
	})
}

const maxConflictBackoff = 50 * time.Millisecond

func (shares *shares) writeTable(ctx context.Context, write quota.WriteTable) []quota.ShareEffect {
	ctx, cancel := context.WithTimeout(ctx, shares.entry.limits.storeTimeout)
	defer cancel()
	data, err := write.Table.Marshal()
	if err != nil {
		shares.entry.log.Warnf("failed to encode the table of shares: %v", err)
		return nil
	}
	version, err := shares.entry.Store().Update(ctx, "quota", shares.tableKey, data, write.BaseVersion)
	result := quota.WriteUnknown
	switch {
	case err == nil:
		result = quota.Written
	case errors.Is(err, object.ErrConflict), errors.Is(err, object.ErrRefused):
		result = quota.Conflicted
		shares.entry.sleep(ctx, time.Duration(rand.Int64N(int64(maxConflictBackoff))))
	}
	effects := shares.step(func(share *quota.Share, now time.Time) []quota.ShareEffect {
		return share.WriteDone(now, result, version)
	})
	if result == quota.Written && shares.hasNoUnits() {
		// The entry needs units that others have to give up, or has itself given up its
		// units because it is leaving. In both cases the others should renew soon.
		go shares.notifyPeers(context.WithoutCancel(ctx))
	}
	if result == quota.Written && write.BaseVersion == 0 {
		shares.mu.Lock()
		shares.createdTable = true
		shares.mu.Unlock()
		shares.fillInitialBuckets()
	}
	return effects
}

func (shares *shares) hasNoUnits() bool {
	shares.mu.Lock()
	defer shares.mu.Unlock()
	units := shares.share.Units()
	return units.Dynamic+units.Standing == 0
}

// Install adds a bucket for each customer of the configuration.
func (shares *shares) Install(document *config.Document) {
	shares.limiter.Install(document)
	shares.fillInitialBuckets()
}

// fillInitialBuckets fills the buckets once, if this entry created the table: until
// then no entry has admitted anything, so full bursts are available.
func (shares *shares) fillInitialBuckets() {
	document := shares.entry.Follower().Document()
	if document == nil {
		return
	}
	shares.withLock(func(inner *quota.Limiter, now time.Time) {
		if !shares.createdTable || shares.bucketsFilled {
			return
		}
		shares.bucketsFilled = true
		inner.FillAll(customerNames(document), now)
	})
}

// TableChanged brings the next renewal forward.
func (shares *shares) TableChanged() {
	shares.step(func(share *quota.Share, now time.Time) []quota.ShareEffect {
		share.RenewSoon(now)
		return nil
	})
}

// notifyPeers notifies some of the other entries that the table has changed, so that
// they renew before their next regular renewal.
func (shares *shares) notifyPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var group errgroup.Group
	peers := shares.Peers()
	start := rand.IntN(len(peers) + 1)
	for offset := range min(len(peers), maxNotifiedPeers) {
		address := peers[(start+offset)%len(peers)]
		group.Go(func() error {
			return shares.entry.Links().Invoke(ctx, address, wire.CallShares, &wire.Empty{}, &wire.Empty{})
		})
	}
	if err := group.Wait(); err != nil {
		shares.entry.Metrics().Add("quota.tell_errors", 1)
	}
}

const (
	notifyTimeout    = 500 * time.Millisecond
	maxNotifiedPeers = 16
)

// Peers returns the addresses of the other entries that hold shares.
func (shares *shares) Peers() []string { return *shares.peers.Load() }

// Leave gives up the share and notifies other entries. It returns once the object API has taken the
// share out of the table, or ctx ends; Run tries again meanwhile.
func (shares *shares) Leave(ctx context.Context) {
	shares.execute(ctx, shares.step(func(share *quota.Share, now time.Time) []quota.ShareEffect { return share.Leave(now) }))
	for !shares.left() && ctx.Err() == nil {
		shares.entry.sleep(ctx, drainPollInterval)
	}
	shares.notifyPeers(ctx)
}

func (shares *shares) left() bool {
	shares.mu.Lock()
	defer shares.mu.Unlock()
	return shares.share == nil || shares.share.Left()
}

// Reserve takes tokens from a customer's bucket at this entry. If they do not
// suffice, it borrows from other entries and tries once more.
func (shares *shares) Reserve(customer string, tokens int) *code.Fault {
	missing, err := shares.reserve(customer, tokens)
	if err == nil || err.Code() != code.RateExceeded {
		return err
	}
	if !shares.borrow(customer, missing) {
		return err
	}
	_, err = shares.reserve(customer, tokens)
	return err
}

const (
	borrowBackoff = 100 * time.Millisecond // time without borrowing for a customer, after entries lent less than was missing
	borrowFactor  = 2                      // ratio of the tokens requested to those missing
)

// borrow requests tokens from some other entries and reports whether any were lent.
func (shares *shares) borrow(customer string, missing float64) bool {
	if shares.borrowingPaused(customer) {
		return false
	}
	peers := shares.Peers()
	count := 0
	shares.withLock(func(inner *quota.Limiter, now time.Time) {
		count = min(len(peers), inner.Lenders(customer, missing, now))
	})
	requestedAt := shares.entry.Clock().Now()
	ctx, cancel := context.WithTimeout(context.Background(), shares.entry.Values().Duration("quota.loan_timeout"))
	defer cancel()
	var group errgroup.Group
	var lent atomic.Int64
	start := 0
	if len(peers) > 0 {
		start = rand.IntN(len(peers))
	}
	for offset := range count {
		address := peers[(start+offset)%len(peers)]
		group.Go(func() error {
			request := &wire.BorrowRequest{Customer: customer, Tokens: int(missing*borrowFactor)/count + 1}
			answer := &wire.BorrowAnswer{}
			shares.entry.Metrics().Add("quota.asks", 1)
			if err := shares.entry.Links().Invoke(ctx, address, wire.CallBorrow, request, answer); err != nil {
				return err
			}
			lent.Add(int64(answer.Tokens))
			shares.withLock(func(inner *quota.Limiter, now time.Time) {
				inner.AddBorrowed(customer, float64(answer.Tokens), requestedAt, now)
			})
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		shares.entry.Metrics().Add("quota.ask_errors", 1)
	}
	if float64(lent.Load()) < missing {
		shares.pauseBorrowing(customer)
	}
	return lent.Load() > 0
}

func (shares *shares) borrowingPaused(customer string) bool {
	shares.borrowMu.Lock()
	defer shares.borrowMu.Unlock()
	return shares.entry.Clock().Now().Before(shares.borrowPausedUntil[customer])
}

func (shares *shares) pauseBorrowing(customer string) {
	shares.borrowMu.Lock()
	defer shares.borrowMu.Unlock()
	shares.borrowPausedUntil[customer] = shares.entry.Clock().Now().Add(borrowBackoff)
}
