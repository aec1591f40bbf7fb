package wire

import "google.golang.org/protobuf/encoding/protowire"

// SentPrompt announces to an agent a prompt that an entry has sent to its target. It is not
// repeated: if it is lost, the agent's knowledge lacks the prompt.
type SentPrompt struct {
	ID      string // of the request
	Urgency int
	Tokens  int
	Parts   []PromptPart // shared leading parts
}

// PromptPart is a shared part of a prompt.
type PromptPart struct {
	Key    uint32
	Tokens int
}

func (sentPrompt *SentPrompt) appendTo(writer *writer) {
	writer.string(1, sentPrompt.ID)
	writer.int(2, sentPrompt.Urgency)
	writer.int(3, sentPrompt.Tokens)
	for index := range sentPrompt.Parts {
		writer.message(4, &sentPrompt.Parts[index])
	}
}

func (sentPrompt *SentPrompt) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		sentPrompt.ID = value.string()
	case 2:
		sentPrompt.Urgency = value.int()
	case 3:
		sentPrompt.Tokens = value.int()
	case 4:
		var part PromptPart
		if parse(value.bytes, &part) == nil {
			sentPrompt.Parts = append(sentPrompt.Parts, part)
		}
	}
}

func (promptPart *PromptPart) appendTo(writer *writer) {
	writer.varint(1, uint64(promptPart.Key))
	writer.int(2, promptPart.Tokens)
}

func (promptPart *PromptPart) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		promptPart.Key = uint32(value.varint)
	case 2:
		promptPart.Tokens = value.int()
	}
}
