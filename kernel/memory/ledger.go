// Package memory keeps an agent's account of its accelerator: nothing is loaded
// without a reservation, and a reservation ends only when the engine itself
// says, after every order for it has ended, that the memory is free. The
// package does no I/O.
package memory

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoRoom says that a reservation would overcommit the accelerator.
var ErrNoRoom = errors.New("the accelerator has no room")

// ErrNotReady says that the ledger does not know yet what the engine holds.
var ErrNotReady = errors.New("the engine's memory is not known yet")

// Item is a model or adapter in the account.
type Item struct {
	name      string
	model     string
	footprint int64
	ready     bool
	leaving   bool
	seen      bool      // the engine has shown it since the reservation
	quiet     time.Time // until when an order for it may still reach the engine
	used      time.Time
}

// Name returns the name of the model or adapter.
func (item *Item) Name() string { return item.name }

// Model returns the model below an adapter, empty for a model.
func (item *Item) Model() string { return item.model }

// Footprint returns the bytes reserved.
func (item *Item) Footprint() int64 { return item.footprint }

// Ready says whether requests may use it.
func (item *Item) Ready() bool { return item.ready && !item.leaving }

// Leaving says whether it is being unloaded.
func (item *Item) Leaving() bool { return item.leaving }

// Used returns when it was last used.
func (item *Item) Used() time.Time { return item.used }

// Holding is what an engine says that it holds.
type Holding struct {
	Name      string
	Model     string
	Footprint int64
	Ready     bool
	Leaving   bool
}

// Ledger is the account of one accelerator.
type Ledger struct {
	capacity int64
	reserved int64
	items    map[string]*Item
	openAt   time.Time
	synced   bool
	window   time.Duration
}

// New returns the ledger of an accelerator with capacity bytes. An order may
// reach the engine up to window after it was sent. Until openAt, orders of an
// earlier incarnation may still arrive, so that nothing is reserved.
func New(capacity int64, window time.Duration, openAt time.Time) *Ledger {
	return &Ledger{capacity: capacity, items: map[string]*Item{}, openAt: openAt, window: window}
}

// Open says whether orders may be given at now.
func (ledger *Ledger) Open(now time.Time) bool { return ledger.synced && now.After(ledger.openAt) }

// Free returns the bytes that are not reserved.
func (ledger *Ledger) Free() int64 { return ledger.capacity - ledger.reserved }

// Capacity returns the accelerator's bytes.
func (ledger *Ledger) Capacity() int64 { return ledger.capacity }

// Item returns the account of a model or adapter, nil when it has none.
func (ledger *Ledger) Item(name string) *Item { return ledger.items[name] }

// Items returns the account ordered by name.
func (ledger *Ledger) Items() []*Item {
	items := make([]*Item, 0, len(ledger.items))
	for _, item := range ledger.items {
		items = append(items, item)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].name < items[j].name })
	return items
}

// Reserve takes room for a load that is ordered right after, at sent.
func (ledger *Ledger) Reserve(name, model string, footprint int64, sent time.Time) error {
	if !ledger.Open(sent) {
		return ErrNotReady
	}
	if ledger.items[name] != nil {
		return errors.Newf("%s is in the account already", name)
	}
	if footprint > ledger.Free() {
		return errors.Wrapf(ErrNoRoom, "%s needs %d bytes of %d free", name, footprint, ledger.Free())
	}
	ledger.items[name] = &Item{name: name, model: model, footprint: footprint, quiet: sent.Add(ledger.window), used: sent}
	ledger.reserved += footprint
	return nil
}

// NeverSent takes a reservation back whose order was not sent at all.
func (ledger *Ledger) NeverSent(name string) {
	item := ledger.items[name]
	if item != nil && !item.seen {
		ledger.drop(item)
	}
}

// Unload marks an item whose unload is ordered right after, at sent. It keeps
// its reservation.
func (ledger *Ledger) Unload(name string, sent time.Time) error {
	item := ledger.items[name]
	if item == nil {
		return errors.Newf("%s is not in the account", name)
	}
	item.leaving = true
	item.quiet = sent.Add(ledger.window)
	return nil
}

// Use notes that requests use an item.
func (ledger *Ledger) Use(name string, now time.Time) {
	if item := ledger.items[name]; item != nil {
		item.used = now
	}
}

// Sync takes what the engine said upon a question sent at asked. An item that
// the engine does not show is given up only when no order for it can still be
// on its way; one that only the engine knows is taken into the account.
func (ledger *Ledger) Sync(holdings []Holding, asked time.Time) {
	shown := map[string]bool{}
	for _, holding := range holdings {
		shown[holding.Name] = true
		ledger.show(holding, asked)
	}
	for _, item := range ledger.Items() {
		if !shown[item.name] && asked.After(item.quiet) {
			ledger.drop(item)
		}
	}
	// An answer from before openAt may lack a load that arrived after it.
	ledger.synced = ledger.synced || asked.After(ledger.openAt)
}

// Silent notes that the engine did not answer at now. Orders that reached it may
// then be carried out later than usual, so that what hangs on them waits longer.
func (ledger *Ledger) Silent(now time.Time) {
	later := now.Add(ledger.window)
	if !ledger.synced && later.After(ledger.openAt) {
		ledger.openAt = later
	}
	for _, item := range ledger.items {
		if (!item.seen || item.leaving) && later.After(item.quiet) {
			item.quiet = later
		}
	}
}

func (ledger *Ledger) show(holding Holding, asked time.Time) {
	item := ledger.items[holding.Name]
	if item == nil {
		item = &Item{name: holding.Name, model: holding.Model, footprint: holding.Footprint, used: asked}
		ledger.items[holding.Name] = item
		ledger.reserved += item.footprint
	}
	if holding.Footprint > item.footprint {
		ledger.reserved += holding.Footprint - item.footprint
		item.footprint = holding.Footprint
	}
	item.seen = true
	item.ready = holding.Ready
	item.leaving = holding.Leaving || item.leaving && !asked.After(item.quiet)
}

func (ledger *Ledger) drop(item *Item) {
	delete(ledger.items, item.name)
	ledger.reserved -= item.footprint
}
