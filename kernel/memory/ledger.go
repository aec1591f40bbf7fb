// Package memory tracks the memory of the accelerator that an agent loads models and
// adapters into. It decides whether a load fits, from the reservations and the engine's
// reports. Nothing is loaded without a reservation. Once an order for an item has been
// sent and not refused, its reservation is released only when the engine no longer
// reports the item and no order for it can still arrive, so that late or lost orders
// never overcommit the accelerator. The package does no I/O; package placement decides
// what to load, and the agent sends the orders and queries the engine.
package memory

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoRoom is returned for a reservation that would overcommit the accelerator.
var ErrNoRoom = errors.New("accelerator memory exhausted")

// ErrNotReady is returned while the engine's memory use is unknown or orders of an
// earlier incarnation may still arrive.
var ErrNotReady = errors.New("engine memory use is not known yet")

// Item is a model or adapter with a reservation.
type Item struct {
	name      string
	model     string // base model of an adapter, empty for a model
	footprint int64  // bytes
	ready     bool
	unloading bool      // being unloaded
	reported  bool      // the engine has reported it since the reservation
	orderEnd  time.Time // until then, an order for it may still reach the engine
	lastUsed  time.Time
}

// Name returns the name of the model or adapter.
func (item *Item) Name() string { return item.name }

// Model returns the base model of an adapter, empty for a model.
func (item *Item) Model() string { return item.model }

// Footprint returns the reserved bytes.
func (item *Item) Footprint() int64 { return item.footprint }

// Ready reports whether requests may use the item.
func (item *Item) Ready() bool { return item.ready && !item.unloading }

// Unloading reports whether the item is being unloaded.
func (item *Item) Unloading() bool { return item.unloading }

// LastUsed returns the time of the last use.
func (item *Item) LastUsed() time.Time { return item.lastUsed }

// EngineItem is a model or adapter in the engine's memory, as the engine reports it.
type EngineItem struct {
	Name      string
	Model     string // base model of an adapter, empty for a model
	Footprint int64  // bytes
	Ready     bool
	Unloading bool
}

// Ledger records the reservations of one accelerator's memory.
type Ledger struct {
	capacity int64 // bytes
	reserved int64 // bytes
	items    map[string]*Item
	openAt   time.Time     // no order of an earlier incarnation arrives later
	synced   bool          // the engine has reported its items since openAt
	window   time.Duration // longest time from sending an order to its arrival
}

// New returns the ledger of an accelerator with capacity bytes. An order may reach
// the engine up to window after it was sent. Orders of an earlier incarnation may
// arrive until openAt. Therefore Reserve returns ErrNotReady until Sync has been called
// with the answer to a query that was sent after openAt.
func New(capacity int64, window time.Duration, openAt time.Time) *Ledger {
	return &Ledger{capacity: capacity, items: map[string]*Item{}, openAt: openAt, window: window}
}

// IsOpen reports whether orders may be sent at now.
func (ledger *Ledger) IsOpen(now time.Time) bool { return ledger.synced && now.After(ledger.openAt) }

// Free returns the unreserved bytes.
func (ledger *Ledger) Free() int64 { return ledger.capacity - ledger.reserved }

// Capacity returns the accelerator's memory in bytes.
func (ledger *Ledger) Capacity() int64 { return ledger.capacity }

// Item returns the item of a model or adapter, nil when nothing is reserved for it.
func (ledger *Ledger) Item(name string) *Item { return ledger.items[name] }

// Items returns all items ordered by name.
func (ledger *Ledger) Items() []*Item {
	items := make([]*Item, 0, len(ledger.items))
	for _, item := range ledger.items {
		items = append(items, item)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].name < items[j].name })
	return items
}

// Reserve reserves footprint bytes for a load whose order is sent at sentAt. It
// returns ErrNotReady before the ledger is open, ErrNoRoom when the load does not fit,
// and another error when name already has a reservation.
func (ledger *Ledger) Reserve(name, model string, footprint int64, sentAt time.Time) error {
	if !ledger.IsOpen(sentAt) {
		return ErrNotReady
	}
	if ledger.items[name] != nil {
		return errors.Newf("%s is reserved already", name)
	}
	if footprint > ledger.Free() {
		return errors.Wrapf(ErrNoRoom, "%s needs %d bytes, %d are free", name, footprint, ledger.Free())
	}
	ledger.items[name] = &Item{name: name, model: model, footprint: footprint, orderEnd: sentAt.Add(ledger.window), lastUsed: sentAt}
	ledger.reserved += footprint
	return nil
}

// CancelReservation releases a reservation whose load order was not sent or was refused
// by the engine. It has no effect once the engine has reported the item.
func (ledger *Ledger) CancelReservation(name string) {
	item := ledger.items[name]
	if item != nil && !item.reported {
		ledger.release(item)
	}
}

// Unload marks an item as unloading; the order to unload it is sent at sentAt. The
// reservation stays until Sync releases it.
func (ledger *Ledger) Unload(name string, sentAt time.Time) error {
	item := ledger.items[name]
	if item == nil {
		return errors.Newf("%s is not reserved", name)
	}
	item.unloading = true
	item.orderEnd = sentAt.Add(ledger.window)
	return nil
}

// Use records that requests use an item.
func (ledger *Ledger) Use(name string, now time.Time) {
	if item := ledger.items[name]; item != nil {
		item.lastUsed = now
	}
}

// Sync updates the ledger from the engine's answer to a query sent at queriedAt. An
// item that the engine does not report is released only when no order for it can
// still arrive. An item that the engine reports and that has no reservation gets one,
// even if the reservations then exceed the capacity.
func (ledger *Ledger) Sync(engineItems []EngineItem, queriedAt time.Time) {
	reported := map[string]bool{}
	for _, engineItem := range engineItems {
		reported[engineItem.Name] = true
		ledger.update(engineItem, queriedAt)
	}
	for _, item := range ledger.Items() {
		if !reported[item.name] && queriedAt.After(item.orderEnd) {
			ledger.release(item)
		}
	}
	// The answer to a query from before openAt may lack a load that arrived later.
	ledger.synced = ledger.synced || queriedAt.After(ledger.openAt)
}

// QueryUnanswered records that the engine did not answer a query at now. The engine may
// be slow and carry out an order after the window of that order. Therefore, for another
// window from now, reservations with an outstanding order are kept, and a ledger that is
// not open yet stays closed.
func (ledger *Ledger) QueryUnanswered(now time.Time) {
	later := now.Add(ledger.window)
	if !ledger.synced && later.After(ledger.openAt) {
		ledger.openAt = later
	}
	for _, item := range ledger.items {
		if (!item.reported || item.unloading) && later.After(item.orderEnd) {
			item.orderEnd = later
		}
	}
}

// update records an item that the engine reported.
func (ledger *Ledger) update(engineItem EngineItem, queriedAt time.Time) {
	item := ledger.items[engineItem.Name]
	if item == nil {
		item = &Item{name: engineItem.Name, model: engineItem.Model, footprint: engineItem.Footprint, lastUsed: queriedAt}
		ledger.items[engineItem.Name] = item
		ledger.reserved += item.footprint
	}
	if engineItem.Footprint > item.footprint {
		ledger.reserved += engineItem.Footprint - item.footprint
		item.footprint = engineItem.Footprint
	}
	item.reported = true
	item.ready = engineItem.Ready
	// While the order to unload the item may still arrive, the engine may not know of it.
	item.unloading = engineItem.Unloading || item.unloading && !queriedAt.After(item.orderEnd)
}

func (ledger *Ledger) release(item *Item) {
	delete(ledger.items, item.name)
	ledger.reserved -= item.footprint
}
