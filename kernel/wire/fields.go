package wire

import "google.golang.org/protobuf/encoding/protowire"

func (header *Header) appendTo(writer *writer) {
	writer.text(1, header.Name)
	writer.text(2, header.Value)
}

func (header *Header) field(number protowire.Number, value value) {
	switch number {
	case 1:
		header.Name = value.text()
	case 2:
		header.Value = value.text()
	}
}

func (request *Request) appendTo(writer *writer) {
	writer.text(1, request.ID)
	writer.text(2, request.Nonce)
	writer.text(3, request.Customer)
	writer.text(4, request.KeyID)
	writer.varint(5, request.Generation)
	writer.text(6, request.Model)
	writer.text(7, request.Adapter)
	writer.text(8, request.Method)
	writer.text(9, request.Path)
	writer.headers(10, request.Headers)
	writer.bytes(11, request.Body)
	writer.text(12, request.BodyHash)
	writer.flag(13, request.Idempotent)
	writer.flag(14, request.Stream)
	writer.int(15, request.Priority)
	writer.int(16, request.Weight)
	writer.int(17, request.Tokens)
	writer.duration(18, request.Timeout)
	writer.varint(19, request.Incarnation)
	writer.duration(20, request.StartBy)
	writer.varint(21, request.Base)
	writer.varint(22, request.ResumeFrom)
	writer.text(23, request.Entry)
}

func (request *Request) field(number protowire.Number, value value) {
	switch number {
	case 1:
		request.ID = value.text()
	case 2:
		request.Nonce = value.text()
	case 3:
		request.Customer = value.text()
	case 4:
		request.KeyID = value.text()
	case 5:
		request.Generation = value.number
	case 6:
		request.Model = value.text()
	case 7:
		request.Adapter = value.text()
	case 8:
		request.Method = value.text()
	case 9:
		request.Path = value.text()
	case 10:
		request.Headers = append(request.Headers, parseHeader(value.bytes))
	case 11:
		request.Body = value.copied()
	case 12:
		request.BodyHash = value.text()
	default:
		request.laterField(number, value)
	}
}

func (request *Request) laterField(number protowire.Number, value value) {
	switch number {
	case 13:
		request.Idempotent = value.flag()
	case 14:
		request.Stream = value.flag()
	case 15:
		request.Priority = value.int()
	case 16:
		request.Weight = value.int()
	case 17:
		request.Tokens = value.int()
	case 18:
		request.Timeout = value.duration()
	case 19:
		request.Incarnation = value.number
	case 20:
		request.StartBy = value.duration()
	case 21:
		request.Base = value.number
	case 22:
		request.ResumeFrom = value.number
	case 23:
		request.Entry = value.text()
	}
}

func (frame *Frame) appendTo(writer *writer) {
	writer.text(1, frame.ID)
	writer.text(2, frame.Nonce)
	writer.varint(3, frame.Position)
	writer.int(4, int(frame.Kind))
	writer.int(5, frame.Status)
	writer.headers(6, frame.Headers)
	writer.bytes(7, frame.Data)
	writer.int(8, frame.Code)
	writer.int(9, frame.Ran)
	writer.text(10, frame.Message)
	writer.duration(11, frame.RetryAfter)
	writer.int(12, frame.Tokens)
	writer.varint(13, frame.Record)
	if frame.Load != nil {
		writer.message(14, frame.Load)
	}
}

func (frame *Frame) field(number protowire.Number, value value) {
	switch number {
	case 1:
		frame.ID = value.text()
	case 2:
		frame.Nonce = value.text()
	case 3:
		frame.Position = value.number
	case 4:
		frame.Kind = FrameKind(value.int())
	case 5:
		frame.Status = value.int()
	case 6:
		frame.Headers = append(frame.Headers, parseHeader(value.bytes))
	case 7:
		frame.Data = value.copied()
	case 8:
		frame.Code = value.int()
	case 9:
		frame.Ran = value.int()
	case 10:
		frame.Message = value.text()
	case 11:
		frame.RetryAfter = value.duration()
	case 12:
		frame.Tokens = value.int()
	case 13:
		frame.Record = value.number
	case 14:
		frame.Load = &Load{}
		if parse(value.bytes, frame.Load) != nil {
			frame.Load = nil
		}
	}
}

func (revokeRequest *RevokeRequest) appendTo(writer *writer) {
	writer.text(1, revokeRequest.Nonce)
	writer.varint(2, revokeRequest.Incarnation)
	writer.flag(3, revokeRequest.AskOnly)
}

func (revokeRequest *RevokeRequest) field(number protowire.Number, value value) {
	switch number {
	case 1:
		revokeRequest.Nonce = value.text()
	case 2:
		revokeRequest.Incarnation = value.number
	case 3:
		revokeRequest.AskOnly = value.flag()
	}
}

func (revokeAnswer *RevokeAnswer) appendTo(writer *writer) {
	writer.int(1, int(revokeAnswer.Fate))
	writer.int(2, revokeAnswer.Status)
	writer.text(3, revokeAnswer.ContentType)
	writer.bytes(4, revokeAnswer.Body)
	writer.flag(5, revokeAnswer.Truncated)
}

func (revokeAnswer *RevokeAnswer) field(number protowire.Number, value value) {
	switch number {
	case 1:
		revokeAnswer.Fate = Fate(value.int())
	case 2:
		revokeAnswer.Status = value.int()
	case 3:
		revokeAnswer.ContentType = value.text()
	case 4:
		revokeAnswer.Body = value.copied()
	case 5:
		revokeAnswer.Truncated = value.flag()
	}
}

func (statusRequest *StatusRequest) appendTo(writer *writer) {
	writer.varint(1, statusRequest.Generation)
	writer.flag(2, statusRequest.Detail)
}

func (statusRequest *StatusRequest) field(number protowire.Number, value value) {
	switch number {
	case 1:
		statusRequest.Generation = value.number
	case 2:
		statusRequest.Detail = value.flag()
	}
}

func (load *Load) appendTo(writer *writer) {
	writer.text(1, load.Target)
	writer.varint(2, load.Incarnation)
	writer.duration(3, load.Clock)
	writer.varint(4, load.Generation)
	writer.flag(5, load.Leaving)
	writer.int(6, load.Queued)
	writer.int(7, load.Running)
	writer.int(8, load.Slots)
	writer.varint(9, uint64(load.FreeMemory))
	for _, name := range load.Resident {
		writer.text(10, name)
	}
	writer.varint(11, load.Sequence)
	writer.varint(12, load.Applied)
	for index := range load.Offered {
		writer.message(13, &load.Offered[index])
	}
}

func (load *Load) field(number protowire.Number, value value) {
	switch number {
	case 1:
		load.Target = value.text()
	case 2:
		load.Incarnation = value.number
	case 3:
		load.Clock = value.duration()
	case 4:
		load.Generation = value.number
	case 5:
		load.Leaving = value.flag()
	case 6:
		load.Queued = value.int()
	case 7:
		load.Running = value.int()
	case 8:
		load.Slots = value.int()
	case 9:
		load.FreeMemory = int64(value.number)
	case 10:
		load.Resident = append(load.Resident, value.text())
	case 11:
		load.Sequence = value.number
	case 12:
		load.Applied = value.number
	case 13:
		var count ModelCount
		if parse(value.bytes, &count) == nil {
			load.Offered = append(load.Offered, count)
		}
	}
}

func (modelCount *ModelCount) appendTo(writer *writer) {
	writer.text(1, modelCount.Model)
	writer.varint(2, modelCount.Work)
}

func (modelCount *ModelCount) field(number protowire.Number, value value) {
	switch number {
	case 1:
		modelCount.Model = value.text()
	case 2:
		modelCount.Work = value.number
	}
}

func (assignRequest *AssignRequest) appendTo(writer *writer) {
	writer.varint(1, assignRequest.Version)
	for _, name := range assignRequest.Models {
		writer.text(2, name)
	}
}

func (assignRequest *AssignRequest) field(number protowire.Number, value value) {
	switch number {
	case 1:
		assignRequest.Version = value.number
	case 2:
		assignRequest.Models = append(assignRequest.Models, value.text())
	}
}

func (wantedRequest *WantedRequest) appendTo(writer *writer) {
	for _, name := range wantedRequest.Models {
		writer.text(1, name)
	}
}

func (wantedRequest *WantedRequest) field(number protowire.Number, value value) {
	if number == 1 {
		wantedRequest.Models = append(wantedRequest.Models, value.text())
	}
}

func (configRequest *ConfigRequest) appendTo(writer *writer) {
	writer.varint(1, configRequest.Generation)
}

func (configRequest *ConfigRequest) field(number protowire.Number, value value) {
	if number == 1 {
		configRequest.Generation = value.number
	}
}

func (configAnswer *ConfigAnswer) appendTo(writer *writer) {
	writer.bytes(1, configAnswer.Head)
	writer.bytes(2, configAnswer.Document)
	writer.duration(3, configAnswer.Age)
}

func (configAnswer *ConfigAnswer) field(number protowire.Number, value value) {
	switch number {
	case 1:
		configAnswer.Head = value.copied()
	case 2:
		configAnswer.Document = value.copied()
	case 3:
		configAnswer.Age = value.duration()
	}
}

func (leaveNotice *LeaveNotice) appendTo(writer *writer) {
	writer.text(1, leaveNotice.Target)
	writer.varint(2, leaveNotice.Incarnation)
}

func (leaveNotice *LeaveNotice) field(number protowire.Number, value value) {
	switch number {
	case 1:
		leaveNotice.Target = value.text()
	case 2:
		leaveNotice.Incarnation = value.number
	}
}

func (empty *Empty) appendTo(*writer) {}

func (empty *Empty) field(protowire.Number, value) {}

func (borrowRequest *BorrowRequest) appendTo(writer *writer) {
	writer.text(1, borrowRequest.Customer)
	writer.int(2, borrowRequest.Tokens)
}

func (borrowRequest *BorrowRequest) field(number protowire.Number, value value) {
	switch number {
	case 1:
		borrowRequest.Customer = value.text()
	case 2:
		borrowRequest.Tokens = value.int()
	}
}

func (borrowAnswer *BorrowAnswer) appendTo(writer *writer) {
	writer.int(1, borrowAnswer.Tokens)
}

func (borrowAnswer *BorrowAnswer) field(number protowire.Number, value value) {
	if number == 1 {
		borrowAnswer.Tokens = value.int()
	}
}
