// Package quota enforces each customer's rate and burst over all entries
// together. Every customer's rate and burst are divided into TotalUnits units, and
// every entry holds a share: a number of units that applies to all customers. A
// share has a dynamic part, which expires soon after the entry stops renewing it,
// and a standing part, which outlasts longer outages of the object API. The shares
// are recorded in a table in the platform's object API and changed by conditional
// writes only, so that no unit has two holders at any time.
//
// Share decides how many units an entry holds, and Limiter admits requests within
// them and lends tokens to other entries. The package does no I/O; package entry
// reads and writes the table and carries the loans between entries.
package quota

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// TotalUnits is the number of units into which every customer's rate and burst
// are divided.
const TotalUnits = 1 << 20

// Holder is an entry's row in the table of shares. If the row is not renewed, the
// dynamic part expires after hold and the standing part after the longer of hold
// and standingHold.
type Holder struct {
	name         string
	address      string
	dynamic      int64 // units
	standing     int64 // units
	hold         time.Duration
	standingHold time.Duration
	heartbeat    uint64 // increases with every renewal
}

// Name returns the name of the entry, unique to this incarnation.
func (holder Holder) Name() string { return holder.name }

// Address returns the address at which the entry listens for its peers.
func (holder Holder) Address() string { return holder.address }

// Units returns the units of the dynamic and the standing part together.
func (holder Holder) Units() int64 { return holder.dynamic + holder.standing }

// Table lists the share of each entry, in the order in which the entries joined.
type Table struct {
	holders []Holder
}

// Holders returns the rows in the order in which the entries joined.
func (table Table) Holders() []Holder { return table.holders }

// Free returns the number of units without a holder.
func (table Table) Free() int64 {
	free := int64(TotalUnits)
	for _, holder := range table.holders {
		free -= holder.Units()
	}
	return free
}

// standingUnits returns the units held as standing shares.
func (table Table) standingUnits() int64 {
	units := int64(0)
	for _, holder := range table.holders {
		units += holder.standing
	}
	return units
}

func (table Table) find(name string) (Holder, bool) {
	for _, holder := range table.holders {
		if holder.name == name {
			return holder, true
		}
	}
	return Holder{}, false
}

// with returns a copy of the table in which holder replaces the row of the same
// name, or is appended if there is none.
func (table Table) with(holder Holder) Table {
	holders := make([]Holder, 0, len(table.holders)+1)
	found := false
	for _, other := range table.holders {
		if other.name == holder.name {
			other, found = holder, true
		}
		holders = append(holders, other)
	}
	if !found {
		holders = append(holders, holder)
	}
	return Table{holders: holders}
}

// without returns a copy of the table without the row of the given name.
func (table Table) without(name string) Table {
	holders := make([]Holder, 0, len(table.holders))
	for _, other := range table.holders {
		if other.name != name {
			holders = append(holders, other)
		}
	}
	return Table{holders: holders}
}

// storedHolder is the stored form of a Holder.
type storedHolder struct {
	Name         string `json:"n"`
	Address      string `json:"a"`
	Dynamic      int64  `json:"d"`
	Standing     int64  `json:"s"`
	Hold         int64  `json:"h"` // milliseconds
	StandingHold int64  `json:"t"` // milliseconds
	Beat         uint64 `json:"b"`
}

// Marshal encodes the table in its stored form.
func (table Table) Marshal() ([]byte, error) {
	rows := make([]storedHolder, 0, len(table.holders))
	for _, holder := range table.holders {
		rows = append(rows, storedHolder{
			Name: holder.name, Address: holder.address, Dynamic: holder.dynamic, Standing: holder.standing,
			Hold: holder.hold.Milliseconds(), StandingHold: holder.standingHold.Milliseconds(), Beat: holder.heartbeat,
		})
	}
	return json.Marshal(rows)
}

// ParseTable decodes a stored table. It returns an error for a negative share and
// for a table that assigns more than TotalUnits.
func ParseTable(data []byte) (Table, error) {
	var rows []storedHolder
	if err := json.Unmarshal(data, &rows); err != nil {
		return Table{}, errors.Wrap(err, "decoding the table of shares")
	}
	var table Table
	for _, row := range rows {
		if row.Dynamic < 0 || row.Standing < 0 {
			return Table{}, errors.Newf("table of shares: holder %q has a negative number of units, want at least 0", row.Name)
		}
		table.holders = append(table.holders, Holder{
			name: row.Name, address: row.Address, dynamic: row.Dynamic, standing: row.Standing,
			hold:         time.Duration(row.Hold) * time.Millisecond,
			standingHold: time.Duration(row.StandingHold) * time.Millisecond, heartbeat: row.Beat,
		})
	}
	if table.Free() < 0 {
		return Table{}, errors.Newf("table of shares: %d units assigned in excess of the total", -table.Free())
	}
	return table, nil
}
