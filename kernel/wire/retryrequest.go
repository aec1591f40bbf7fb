package wire

import "google.golang.org/protobuf/encoding/protowire"

// RetryRequest asks the entry that holds the reserve of retries for one retry of a request
// for a service. It is answered by a CommandResult.
type RetryRequest struct {
	ID      uint64
	Service string
}

func (retryRequest *RetryRequest) appendTo(writer *writer) {
	writer.varint(1, retryRequest.ID)
	writer.string(2, retryRequest.Service)
}

func (retryRequest *RetryRequest) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		retryRequest.ID = value.varint
	case 2:
		retryRequest.Service = value.string()
	}
}
