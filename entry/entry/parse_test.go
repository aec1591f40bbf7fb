package entry

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/code"
)

func testEntry() *Entry {
	return &Entry{limits: limits{maxTokens: 100, defaultTokens: 10}}
}

func TestParsePromptInvalidBodyIsMalformed(t *testing.T) {
	for name, body := range map[string]string{
		"no JSON": `{`, "no object": `[]`, "no model": `{"prompt":"x"}`, "no prompt": `{"model":"m"}`, "null prompt": `{"model":"m","prompt":null}`,
		"model of another type": `{"model":1,"prompt":"x"}`, "too many tokens": `{"model":"m","prompt":"x","max_tokens":101}`,
		"negative tokens": `{"model":"m","prompt":"x","max_tokens":-1}`, "fraction": `{"model":"m","prompt":"x","max_tokens":1.5}`,
		"text after": `{"model":"m","prompt":"x"} {}`, "binary": "\x00\xff",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := testEntry().parsePrompt([]byte(body))
			assert.Assert(t, err != nil)
			assert.Equal(t, err.Code(), code.Malformed)
			assert.Equal(t, err.Ran(), code.RanNo)
		})
	}
}

func TestCheckPathAmbiguousPathIsRefused(t *testing.T) {
	for path, accepted := range map[string]bool{
		"/titles/1": true, "/a.b/c": true, "/a/..b": true, "/a/../b": false, "/a/%2e%2e/b": false, "/a%2Fb": false, "//a": false,
		"/a\\b": false, "/a/..": false, "/a\x00": false, "a": false, "/a b": false, "/a/\xff": false,
	} {
		assert.Equal(t, checkPath(path) == nil, accepted, path)
	}
}

func FuzzParsePromptForwardsCheckedValues(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":5}`))
	f.Add([]byte(`{"model":"m","model":"n","messages":[{"role":"user"}],"stream":true}`))
	f.Add([]byte(`{"MODEL":"m","prompt":["a"]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, err := testEntry().parsePrompt(body)
		if err != nil {
			return
		}
		var seen struct {
			Model     string `json:"model"`
			MaxTokens int    `json:"max_tokens"`
		}
		fields := map[string]json.RawMessage{}
		assert.NilError(t, json.Unmarshal(parsed.body, &fields))
		assert.NilError(t, json.Unmarshal(fields["model"], &seen.Model))
		assert.NilError(t, json.Unmarshal(fields["max_tokens"], &seen.MaxTokens))
		// The engine must receive the values that were checked and reserved.
		assert.Equal(t, seen.Model, parsed.modelName)
		assert.Equal(t, seen.MaxTokens, parsed.maxTokens)
	})
}

func FuzzCheckPathAcceptsPrintableASCIIOnly(f *testing.F) {
	f.Add("/titles/1")
	f.Add("/a/%2e%2e/b")
	f.Fuzz(func(t *testing.T, path string) {
		if checkPath(path) != nil {
			return
		}
		for _, char := range []byte(path) {
			assert.Assert(t, char > ' ' && char < 0x7f)
		}
	})
}
