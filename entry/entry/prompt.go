package entry

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"endiverill.example/kernel/code"
)

const (
	bytesPerToken = 4   // assumed average, to estimate the tokens of a prompt or of a request body to a plain service
	prefixBytes   = 512 // hashed at the start of a prompt, so that prompts with the same start go to the same replica
)

// prompt is the parsed body of a request for text generation.
type prompt struct {
	modelName    string // of the model or adapter
	stream       bool
	maxTokens    int
	promptTokens int // estimated length of the prompt
	prefixHash   uint64
	body         []byte
}

// parsePrompt parses a body and encodes it again, so that the entry and the engine
// read the same value of a repeated field. It fills in a missing max_tokens, so that
// the engine generates no more tokens than were reserved.
func (entry *Entry) parsePrompt(body []byte) (*prompt, *code.Fault) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, code.New(code.Malformed, code.RanNo, "the body is not a JSON object")
	}
	parsed := &prompt{maxTokens: entry.limits.defaultTokens}
	for name, destination := range map[string]any{"model": &parsed.modelName, "stream": &parsed.stream, "max_tokens": &parsed.maxTokens} {
		if err := readField(fields, name, destination); err != nil {
			return nil, err
		}
	}
	if parsed.modelName == "" {
		return nil, code.New(code.Malformed, code.RanNo, "the field model is missing")
	}
	if parsed.maxTokens < 1 || parsed.maxTokens > entry.limits.maxTokens {
		return nil, code.New(code.Malformed, code.RanNo, "the field max_tokens is outside 1 to %d", entry.limits.maxTokens)
	}
	text := fields["messages"]
	if len(text) == 0 {
		text = fields["prompt"]
	}
	if len(text) == 0 || bytes.Equal(text, []byte("null")) {
		return nil, code.New(code.Malformed, code.RanNo, "the fields messages and prompt are missing")
	}
	parsed.promptTokens = len(text)/bytesPerToken + 1
	parsed.prefixHash = xxhash.Sum64(text[:min(len(text), prefixBytes)]) ^ xxhash.Sum64String(parsed.modelName)
	return parsed, parsed.encodeBody(fields)
}

// readField decodes a field into destination, which keeps its value if the field is
// absent or null.
func readField(fields map[string]json.RawMessage, name string, destination any) *code.Fault {
	raw, ok := fields[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return nil
	}
	if err := json.Unmarshal(raw, destination); err != nil {
		return code.New(code.Malformed, code.RanNo, "the field %s has the wrong type", name)
	}
	return nil
}

func (prompt *prompt) encodeBody(fields map[string]json.RawMessage) *code.Fault {
	limit, err := json.Marshal(prompt.maxTokens)
	if err != nil {
		return code.New(code.Internal, code.RanNo, "the body cannot be encoded")
	}
	fields["max_tokens"] = limit
	prompt.body, err = json.Marshal(fields)
	if err != nil {
		return code.New(code.Malformed, code.RanNo, "the body cannot be encoded")
	}
	return nil
}

// reservedTokens returns the most tokens that the request may use, prompt included.
func (prompt *prompt) reservedTokens() int { return prompt.promptTokens + prompt.maxTokens }
