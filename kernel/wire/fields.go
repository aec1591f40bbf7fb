package wire

import "google.golang.org/protobuf/encoding/protowire"

func (header *Header) appendTo(writer *writer) {
	writer.string(1, header.Name)
	writer.string(2, header.Value)
}

func (header *Header) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		header.Name = value.string()
	case 2:
		header.Value = value.string()
	}
}

func (request *Request) appendTo(writer *writer) {
	writer.string(1, request.ID)
	writer.string(2, request.Nonce)
	writer.string(3, request.Customer)
	writer.string(4, request.KeyID)
	writer.varint(5, request.Generation)
	writer.string(6, request.Model)
	writer.string(7, request.Adapter)
	writer.string(8, request.Method)
	writer.string(9, request.Path)
	writer.headers(10, request.Headers)
	writer.bytes(11, request.Body)
	writer.string(12, request.BodyHash)
	writer.bool(13, request.Idempotent)
	writer.bool(14, request.Stream)
	writer.int(15, request.Priority)
	writer.int(16, request.Weight)
	writer.int(17, request.Tokens)
	writer.duration(18, request.Timeout)
	writer.varint(19, request.Incarnation)
	writer.duration(20, request.StartBy)
	writer.varint(21, request.BaseVersion)
	writer.varint(22, request.ResumeFrom)
	writer.string(23, request.Entry)
}

func (request *Request) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		request.ID = value.string()
	case 2:
		request.Nonce = value.string()
	case 3:
		request.Customer = value.string()
	case 4:
		request.KeyID = value.string()
	case 5:
		request.Generation = value.varint
	case 6:
		request.Model = value.string()
	case 7:
		request.Adapter = value.string()
	case 8:
		request.Method = value.string()
	case 9:
		request.Path = value.string()
	case 10:
		request.Headers = append(request.Headers, parseHeader(value.bytes))
	case 11:
		request.Body = value.clone()
	case 12:
		request.BodyHash = value.string()
	default:
		request.setDispatchField(number, value)
	}
}

// setDispatchField decodes fields 13 to 23, which say how the agent queues, starts
// and resumes the request.
func (request *Request) setDispatchField(number protowire.Number, value fieldValue) {
	switch number {
	case 13:
		request.Idempotent = value.bool()
	case 14:
		request.Stream = value.bool()
	case 15:
		request.Priority = value.int()
	case 16:
		request.Weight = value.int()
	case 17:
		request.Tokens = value.int()
	case 18:
		request.Timeout = value.duration()
	case 19:
		request.Incarnation = value.varint
	case 20:
		request.StartBy = value.duration()
	case 21:
		request.BaseVersion = value.varint
	case 22:
		request.ResumeFrom = value.varint
	case 23:
		request.Entry = value.string()
	}
}

func (frame *Frame) appendTo(writer *writer) {
	writer.string(1, frame.ID)
	writer.string(2, frame.Nonce)
	writer.varint(3, frame.Position)
	writer.int(4, int(frame.Kind))
	writer.int(5, frame.Status)
	writer.headers(6, frame.Headers)
	writer.bytes(7, frame.Data)
	writer.int(8, frame.Code)
	writer.int(9, frame.Ran)
	writer.string(10, frame.Message)
	writer.duration(11, frame.RetryAfter)
	writer.int(12, frame.Tokens)
	writer.varint(13, frame.RecordVersion)
	if frame.Load != nil {
		writer.message(14, frame.Load)
	}
	writer.string(15, frame.SoftwareVersion)
}

func (frame *Frame) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		frame.ID = value.string()
	case 2:
		frame.Nonce = value.string()
	case 3:
		frame.Position = value.varint
	case 4:
		frame.Kind = FrameKind(value.int())
	case 5:
		frame.Status = value.int()
	case 6:
		frame.Headers = append(frame.Headers, parseHeader(value.bytes))
	case 7:
		frame.Data = value.clone()
	case 8:
		frame.Code = value.int()
	case 9:
		frame.Ran = value.int()
	case 10:
		frame.Message = value.string()
	case 11:
		frame.RetryAfter = value.duration()
	case 12:
		frame.Tokens = value.int()
	case 13:
		frame.RecordVersion = value.varint
	case 14:
		frame.Load = &Load{}
		if parse(value.bytes, frame.Load) != nil {
			frame.Load = nil
		}
	case 15:
		frame.SoftwareVersion = value.string()
	}
}

func (revokeRequest *RevokeRequest) appendTo(writer *writer) {
	writer.string(1, revokeRequest.Nonce)
	writer.varint(2, revokeRequest.Incarnation)
	writer.bool(3, revokeRequest.QueryOnly)
}

func (revokeRequest *RevokeRequest) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		revokeRequest.Nonce = value.string()
	case 2:
		revokeRequest.Incarnation = value.varint
	case 3:
		revokeRequest.QueryOnly = value.bool()
	}
}

func (revokeAnswer *RevokeAnswer) appendTo(writer *writer) {
	writer.int(1, int(revokeAnswer.DispatchStatus))
	writer.int(2, revokeAnswer.Status)
	writer.string(3, revokeAnswer.ContentType)
	writer.bytes(4, revokeAnswer.Body)
	writer.bool(5, revokeAnswer.Truncated)
}

func (revokeAnswer *RevokeAnswer) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		revokeAnswer.DispatchStatus = DispatchStatus(value.int())
	case 2:
		revokeAnswer.Status = value.int()
	case 3:
		revokeAnswer.ContentType = value.string()
	case 4:
		revokeAnswer.Body = value.clone()
	case 5:
		revokeAnswer.Truncated = value.bool()
	}
}

func (statusRequest *StatusRequest) appendTo(writer *writer) {
	writer.varint(1, statusRequest.Generation)
	writer.bool(2, statusRequest.Detail)
}

func (statusRequest *StatusRequest) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		statusRequest.Generation = value.varint
	case 2:
		statusRequest.Detail = value.bool()
	}
}

func (load *Load) appendTo(writer *writer) {
	writer.string(1, load.Target)
	writer.varint(2, load.Incarnation)
	writer.duration(3, load.Uptime)
	writer.varint(4, load.Generation)
	writer.bool(5, load.Leaving)
	writer.int(6, load.Queued)
	writer.int(7, load.Running)
	writer.int(8, load.Slots)
	writer.varint(9, uint64(load.FreeMemory))
	for _, name := range load.Resident {
		writer.string(10, name)
	}
	writer.varint(11, load.Sequence)
	writer.varint(12, load.PlanVersion)
	for index := range load.Offered {
		writer.message(13, &load.Offered[index])
	}
	writer.string(14, load.SoftwareVersion)
}

func (load *Load) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		load.Target = value.string()
	case 2:
		load.Incarnation = value.varint
	case 3:
		load.Uptime = value.duration()
	case 4:
		load.Generation = value.varint
	case 5:
		load.Leaving = value.bool()
	case 6:
		load.Queued = value.int()
	case 7:
		load.Running = value.int()
	case 8:
		load.Slots = value.int()
	case 9:
		load.FreeMemory = int64(value.varint)
	case 10:
		load.Resident = append(load.Resident, value.string())
	case 11:
		load.Sequence = value.varint
	case 12:
		load.PlanVersion = value.varint
	case 13:
		var modelWork ModelWork
		if parse(value.bytes, &modelWork) == nil {
			load.Offered = append(load.Offered, modelWork)
		}
	case 14:
		load.SoftwareVersion = value.string()
	}
}

func (modelWork *ModelWork) appendTo(writer *writer) {
	writer.string(1, modelWork.Model)
	writer.varint(2, modelWork.Work)
}

func (modelWork *ModelWork) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		modelWork.Model = value.string()
	case 2:
		modelWork.Work = value.varint
	}
}

func (assignRequest *AssignRequest) appendTo(writer *writer) {
	writer.varint(1, assignRequest.Version)
	for _, name := range assignRequest.Models {
		writer.string(2, name)
	}
}

func (assignRequest *AssignRequest) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		assignRequest.Version = value.varint
	case 2:
		assignRequest.Models = append(assignRequest.Models, value.string())
	}
}

func (missingModelsRequest *MissingModelsRequest) appendTo(writer *writer) {
	for _, name := range missingModelsRequest.Models {
		writer.string(1, name)
	}
}

func (missingModelsRequest *MissingModelsRequest) setField(number protowire.Number, value fieldValue) {
	if number == 1 {
		missingModelsRequest.Models = append(missingModelsRequest.Models, value.string())
	}
}

func (configRequest *ConfigRequest) appendTo(writer *writer) {
	writer.varint(1, configRequest.Generation)
}

func (configRequest *ConfigRequest) setField(number protowire.Number, value fieldValue) {
	if number == 1 {
		configRequest.Generation = value.varint
	}
}

func (configAnswer *ConfigAnswer) appendTo(writer *writer) {
	writer.bytes(1, configAnswer.Head)
	writer.bytes(2, configAnswer.Document)
	writer.duration(3, configAnswer.Age)
}

func (configAnswer *ConfigAnswer) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		configAnswer.Head = value.clone()
	case 2:
		configAnswer.Document = value.clone()
	case 3:
		configAnswer.Age = value.duration()
	}
}

func (leaveNotice *LeaveNotice) appendTo(writer *writer) {
	writer.string(1, leaveNotice.Target)
	writer.varint(2, leaveNotice.Incarnation)
}

func (leaveNotice *LeaveNotice) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		leaveNotice.Target = value.string()
	case 2:
		leaveNotice.Incarnation = value.varint
	}
}

func (empty *Empty) appendTo(*writer) {}

func (empty *Empty) setField(protowire.Number, fieldValue) {}

func (borrowRequest *BorrowRequest) appendTo(writer *writer) {
	writer.string(1, borrowRequest.Customer)
	writer.int(2, borrowRequest.Tokens)
}

func (borrowRequest *BorrowRequest) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		borrowRequest.Customer = value.string()
	case 2:
		borrowRequest.Tokens = value.int()
	}
}

func (borrowAnswer *BorrowAnswer) appendTo(writer *writer) {
	writer.int(1, borrowAnswer.Tokens)
}

func (borrowAnswer *BorrowAnswer) setField(number protowire.Number, value fieldValue) {
	if number == 1 {
		borrowAnswer.Tokens = value.int()
	}
}
