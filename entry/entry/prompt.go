package entry

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"endiverill.example/kernel/code"
)

const (
	bytesPerToken = 4   // by which prompts are counted before the engine does
	prefixBytes   = 512 // of a prompt that decide where its prefix may be cached
)

// prompt is the body of a request for text.
type prompt struct {
	name      string // of the model or adapter
	stream    bool
	maxTokens int
	tokens    int // estimate of the prompt's length
	prefix    uint64
	body      []byte
}

// parsePrompt reads a body and writes it anew, so that a field given twice
// means the same to the entry and to the engine. A missing number of tokens is
// filled in, so that the engine generates no more than was reserved.
func (entry *Entry) parsePrompt(body []byte) (*prompt, *code.Fault) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, code.New(code.Malformed, code.RanNo, "the body is not a JSON object")
	}
	parsed := &prompt{maxTokens: entry.limits.defaultTokens}
	for name, into := range map[string]any{"model": &parsed.name, "stream": &parsed.stream, "max_tokens": &parsed.maxTokens} {
		if err := readField(fields, name, into); err != nil {
			return nil, err
		}
	}
	if parsed.name == "" {
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
	parsed.tokens = len(text)/bytesPerToken + 1
	parsed.prefix = xxhash.Sum64(text[:min(len(text), prefixBytes)]) ^ xxhash.Sum64String(parsed.name)
	return parsed, parsed.write(fields)
}

func readField(fields map[string]json.RawMessage, name string, into any) *code.Fault {
	raw, ok := fields[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return code.New(code.Malformed, code.RanNo, "the field %s has the wrong type", name)
	}
	return nil
}

func (prompt *prompt) write(fields map[string]json.RawMessage) *code.Fault {
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

// reserved returns the tokens that the request may use.
func (prompt *prompt) reserved() int { return prompt.tokens + prompt.maxTokens }
