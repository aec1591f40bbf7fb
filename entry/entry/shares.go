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

// shares is the quota plug-in that holds a share of every rate, renewed in the
// object API, and borrows tokens from other entries when its own run out.
type shares struct {
	*limiter
	share   *quota.Share // guarded by limiter.mu
	peers   atomic.Pointer[[]string]
	founded bool // this entry made the table, and nobody has spent anything yet; guarded by limiter.mu
	filled  bool // guarded by limiter.mu
	pauseMu sync.Mutex
	pauses  map[string]time.Time // until when borrowing for a customer is paused
	key     string
}

func newShares(entry *Entry) *shares {
	shares := &shares{limiter: newLimiter(entry), pauses: map[string]time.Time{}}
	shares.key = "quota/" + entry.Values().String("site") + "/shares"
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
		Drift:            drift(shares.entry),
	}
}

const tickPeriod = 100 * time.Millisecond

// Run renews the share until ctx ends.
func (shares *shares) Run(ctx context.Context) error {
	shares.mu.Lock()
	shares.share = quota.NewShare(shares.shareParams(), shares.entry.Clock().Now())
	shares.mu.Unlock()
	for ctx.Err() == nil {
		shares.carryOut(ctx, shares.step(func(share *quota.Share, now time.Time) []quota.ShareEffect { return share.Tick(now) }))
		shares.entry.pause(ctx, tickPeriod)
	}
	return nil
}

// step runs the machine and sets the limiter's units before any effect is
// carried out.
func (shares *shares) step(step func(share *quota.Share, now time.Time) []quota.ShareEffect) []quota.ShareEffect {
	shares.mu.Lock()
	defer shares.mu.Unlock()
	if shares.share == nil {
		return nil
	}
	now := shares.entry.Clock().Now()
	effects := step(shares.share, now)
	shares.limiter.limiter.SetUnits(shares.share.Units(), now)
	var peers []string
	for _, holder := range shares.share.Table().Holders() {
		if holder.Address() != shares.entry.peerAddress {
			peers = append(peers, holder.Address())
		}
	}
	shares.peers.Store(&peers)
	return effects
}

func (shares *shares) carryOut(ctx context.Context, effects []quota.ShareEffect) {
	for len(effects) > 0 {
		var next []quota.ShareEffect
		switch effect := effects[0].(type) {
		case quota.ReadTable:
			next = shares.read(ctx)
		case quota.WriteTable:
			next = shares.write(ctx, effect)
		}
		effects = append(next, effects[1:]...)
	}
}

func (shares *shares) read(ctx context.Context) []quota.ShareEffect {
	ctx, cancel := context.WithTimeout(ctx, shares.entry.limits.storeTimeout)
	defer cancel()
	found, err := shares.entry.Store().Get(ctx, "quota", shares.key)
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

const maxConflictPause = 50 * time.Millisecond

func (shares *shares) write(ctx context.Context, write quota.WriteTable) []quota.ShareEffect {
	ctx, cancel := context.WithTimeout(ctx, shares.entry.limits.storeTimeout)
	defer cancel()
	data, err := write.Table.Marshal()
	if err != nil {
		shares.entry.log.Warnf("table of shares cannot be encoded: %v", err)
		return nil
	}
	version, err := shares.entry.Store().Update(ctx, "quota", shares.key, data, write.BaseVersion)
	result := quota.Unknown
	switch {
	case err == nil:
		result = quota.Written
	case errors.Is(err, object.ErrConflict), errors.Is(err, object.ErrRefused):
		result = quota.Conflicted
		shares.entry.pause(ctx, time.Duration(rand.Int64N(int64(maxConflictPause))))
	}
	effects := shares.step(func(share *quota.Share, now time.Time) []quota.ShareEffect {
		return share.WriteDone(now, result, version)
	})
	if result == quota.Written && shares.short() {
		go shares.tell(context.WithoutCancel(ctx))
	}
	if result == quota.Written && write.BaseVersion == 0 {
		shares.mu.Lock()
		shares.founded = true
		shares.mu.Unlock()
		shares.fillNew()
	}
	return effects
}

// short says whether the entry holds nothing although it is in the table.
func (shares *shares) short() bool {
	shares.mu.Lock()
	defer shares.mu.Unlock()
	units := shares.share.Units()
	return units.Dynamic+units.Standing == 0
}

// Install opens the buckets of the declared customers.
func (shares *shares) Install(document *config.Document) {
	shares.limiter.Install(document)
	shares.fillNew()
}

// fillNew fills, once, the buckets of a fleet that has never spent anything.
func (shares *shares) fillNew() {
	document := shares.entry.Follower().Document()
	if document == nil {
		return
	}
	shares.with(func(inner *quota.Limiter, now time.Time) {
		if !shares.founded || shares.filled {
			return
		}
		shares.filled = true
		inner.FillAll(customerNames(document), now)
	})
}

// Changed brings the next renewal forward.
func (shares *shares) Changed() {
	shares.step(func(share *quota.Share, now time.Time) []quota.ShareEffect {
		share.RenewSoon(now)
		return nil
	})
}

// tell notifies the other entries that the table has changed, so that they need
// not wait for their next renewals.
func (shares *shares) tell(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var group errgroup.Group
	peers := shares.Peers()
	start := rand.IntN(len(peers) + 1)
	for offset := range min(len(peers), toldPeers) {
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
	tellTimeout = 500 * time.Millisecond
	toldPeers   = 16
)

// Peers returns the addresses of the other entries that hold shares.
func (shares *shares) Peers() []string { return *shares.peers.Load() }

// Leave gives the share back.
func (shares *shares) Leave(ctx context.Context) {
	shares.carryOut(ctx, shares.step(func(share *quota.Share, now time.Time) []quota.ShareEffect { return share.Leave(now) }))
	shares.tell(ctx)
}

// Reserve takes tokens from the entry's own share, or with borrowed ones.
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
	askedPeers  = 4                      // entries asked for tokens at once
	borrowPause = 100 * time.Millisecond // pause after entries lent nothing
	surplus     = 2                      // times the missing tokens that are asked for
)

// borrow asks some entries for tokens and says whether any came.
func (shares *shares) borrow(customer string, missing float64) bool {
	if shares.borrowingPaused(customer) {
		return false
	}
	peers := shares.Peers()
	count := min(len(peers), askedPeers)
	asked := shares.entry.Clock().Now()
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
			request := &wire.BorrowRequest{Customer: customer, Tokens: int(missing*surplus)/count + 1}
			answer := &wire.BorrowAnswer{}
			shares.entry.Metrics().Add("quota.asks", 1)
			if err := shares.entry.Links().Invoke(ctx, address, wire.CallBorrow, request, answer); err != nil {
				return err
			}
			lent.Add(int64(answer.Tokens))
			shares.with(func(inner *quota.Limiter, now time.Time) {
				inner.AddBorrowed(customer, float64(answer.Tokens), asked, now)
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
	shares.pauseMu.Lock()
	defer shares.pauseMu.Unlock()
	return shares.entry.Clock().Now().Before(shares.pauses[customer])
}

func (shares *shares) pauseBorrowing(customer string) {
	shares.pauseMu.Lock()
	defer shares.pauseMu.Unlock()
	shares.pauses[customer] = shares.entry.Clock().Now().Add(borrowPause)
}
