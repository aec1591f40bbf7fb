// Package quota holds each customer to its rate and burst over all entries
// together. Entries hold shares of every customer's rate; a table in the
// platform's object API says who holds how much, and no part of a share has two
// holders at any time. The package does no I/O.
package quota

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// TotalUnits is the whole of every customer's rate and burst.
const TotalUnits = 1 << 20

// Holder is an entry's row in the table of shares. The dynamic part is lost
// when the row is not renewed within hold, the standing part within
// standingHold.
type Holder struct {
	name         string
	address      string
	dynamic      int64
	standing     int64
	hold         time.Duration
	standingHold time.Duration
	beat         uint64
}

// Name returns the entry's name, which no other start of an entry has.
func (holder Holder) Name() string { return holder.name }

// Address returns where the entry listens to its peers.
func (holder Holder) Address() string { return holder.address }

// Units returns the whole share.
func (holder Holder) Units() int64 { return holder.dynamic + holder.standing }

// Table says which entry holds which share. Rows are ordered by their time of
// joining.
type Table struct {
	holders []Holder
}

// Holders returns the rows.
func (table Table) Holders() []Holder { return table.holders }

// Free returns the units that nobody holds.
func (table Table) Free() int64 {
	free := int64(TotalUnits)
	for _, holder := range table.holders {
		free -= holder.Units()
	}
	return free
}

// standing returns the units that are held as standing shares.
func (table Table) standing() int64 {
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

// with returns a copy of the table in which the row of that name is holder.
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

// without returns a copy of the table that lacks the row of that name.
func (table Table) without(name string) Table {
	holders := make([]Holder, 0, len(table.holders))
	for _, other := range table.holders {
		if other.name != name {
			holders = append(holders, other)
		}
	}
	return Table{holders: holders}
}

type wireHolder struct {
	Name         string `json:"n"`
	Address      string `json:"a"`
	Dynamic      int64  `json:"d"`
	Standing     int64  `json:"s"`
	Hold         int64  `json:"h"` // milliseconds
	StandingHold int64  `json:"t"` // milliseconds
	Beat         uint64 `json:"b"`
}

// Marshal returns the table as it is stored.
func (table Table) Marshal() ([]byte, error) {
	rows := make([]wireHolder, 0, len(table.holders))
	for _, holder := range table.holders {
		rows = append(rows, wireHolder{
			Name: holder.name, Address: holder.address, Dynamic: holder.dynamic, Standing: holder.standing,
			Hold: holder.hold.Milliseconds(), StandingHold: holder.standingHold.Milliseconds(), Beat: holder.beat,
		})
	}
	return json.Marshal(rows)
}

// ParseTable reads a stored table and refuses one that hands out more than the
// whole.
func ParseTable(data []byte) (Table, error) {
	var rows []wireHolder
	if err := json.Unmarshal(data, &rows); err != nil {
		return Table{}, errors.Wrap(err, "table of shares")
	}
	var table Table
	for _, row := range rows {
		if row.Dynamic < 0 || row.Standing < 0 {
			return Table{}, errors.Newf("table of shares: holder %q has a share below 0", row.Name)
		}
		table.holders = append(table.holders, Holder{
			name: row.Name, address: row.Address, dynamic: row.Dynamic, standing: row.Standing,
			hold:         time.Duration(row.Hold) * time.Millisecond,
			standingHold: time.Duration(row.StandingHold) * time.Millisecond, beat: row.Beat,
		})
	}
	if table.Free() < 0 {
		return Table{}, errors.Newf("table of shares: %d units more than the whole are held", -table.Free())
	}
	return table, nil
}
