package wire

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// PlannerNotice is sent by the entry that plans, several times a second, to some entries, which
// forward each number once to some others. It is not answered.
type PlannerNotice struct {
	Planner     string // address of the entry that plans
	Fence       uint64
	Number      uint64        // rises with each notice of a fence
	Version     uint64        // version of the configuration in force at the planner
	VersionAge  time.Duration // time since the planner last read the configuration itself
	ListVersion uint64        // version of the list of targets, 0 without one
	ListAge     time.Duration // time since the planner last read the list itself
	Admitted    []uint64      // as in EntryState
	Owners      []RateOwner   // that grant requests within customers' rates, one for each slot of customers; none in a small fleet
}

// RateOwner names the entry that grants the requests of some customers.
type RateOwner struct {
	Address string        // HOST:PORT, empty if no entry does
	Age     time.Duration // since the entry was named
}

func (plannerNotice *PlannerNotice) appendTo(writer *writer) {
	writer.string(1, plannerNotice.Planner)
	writer.varint(2, plannerNotice.Fence)
	writer.varint(3, plannerNotice.Number)
	writer.varint(4, plannerNotice.Version)
	writer.duration(5, plannerNotice.VersionAge)
	writer.varint(6, plannerNotice.ListVersion)
	writer.duration(7, plannerNotice.ListAge)
	for _, origin := range plannerNotice.Admitted {
		writer.varint(8, origin)
	}
	for index := range plannerNotice.Owners {
		writer.message(9, &plannerNotice.Owners[index])
	}
}

func (plannerNotice *PlannerNotice) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		plannerNotice.Planner = value.string()
	case 2:
		plannerNotice.Fence = value.varint
	case 3:
		plannerNotice.Number = value.varint
	case 4:
		plannerNotice.Version = value.varint
	case 5:
		plannerNotice.VersionAge = value.duration()
	case 6:
		plannerNotice.ListVersion = value.varint
	case 7:
		plannerNotice.ListAge = value.duration()
	case 8:
		plannerNotice.Admitted = append(plannerNotice.Admitted, value.varint)
	case 9:
		var owner RateOwner
		if parse(value.bytes, &owner) == nil {
			plannerNotice.Owners = append(plannerNotice.Owners, owner)
		}
	}
}

func (rateOwner *RateOwner) appendTo(writer *writer) {
	writer.string(1, rateOwner.Address)
	writer.duration(2, rateOwner.Age)
}

func (rateOwner *RateOwner) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		rateOwner.Address = value.string()
	case 2:
		rateOwner.Age = value.duration()
	}
}
