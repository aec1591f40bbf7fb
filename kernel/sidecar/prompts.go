package sidecar

import (
	"time"

	"endiverill.example/kernel/prompt"
	"endiverill.example/kernel/wire"
)

// handleSentPrompt records a prompt. After long ones the state is sent early, so that the
// entries do not all send theirs to the same target.
func (sidecar *Sidecar) handleSentPrompt(message *wire.SentPrompt, now time.Time) {
	sent := prompt.Prompt{ID: message.ID, Urgency: message.Urgency, Tokens: message.Tokens}
	for _, part := range message.Parts {
		sent.Parts = append(sent.Parts, prompt.Part{Key: part.Key, Tokens: part.Tokens})
	}
	sidecar.prompts.RecordSent(sent, now)
	sidecar.unsentTokens += message.Tokens
	if sidecar.unsentTokens >= earlyStateTokens*sidecar.spacing() && now.Sub(sidecar.lastSent) >= minStateInterval {
		sidecar.sendState()
	}
}
