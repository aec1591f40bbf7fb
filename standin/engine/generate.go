package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

const (
	defaultMaxTokens = 16
	bytesPerToken    = 4
	keptHeaders      = 2000
)

// generation is the wire form of a request for text.
type generation struct {
	Model     string            `json:"model"`
	Prompt    string            `json:"prompt"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

func (generation *generation) text() string {
	if len(generation.Messages) == 0 {
		return generation.Prompt
	}
	var text strings.Builder
	for _, message := range generation.Messages {
		text.Write(message)
	}
	return text.String()
}

// Token returns the token at a position of the answer to a prompt.
func Token(model, prompt string, position int) string {
	seed := xxhash.Sum64String(model + "\x00" + prompt + "\x00" + strconv.Itoa(position))
	return fmt.Sprintf("%08x ", uint32(seed))
}

// Answer returns the whole text of the answer to a prompt.
func Answer(model, prompt string, tokens int) string {
	var text strings.Builder
	for position := range tokens {
		text.WriteString(Token(model, prompt, position))
	}
	return text.String()
}

// job is one generation under way.
type job struct {
	ctx       context.Context
	request   generation
	prompt    string
	resume    int
	chat      bool
	id        string
	cancel    context.CancelFunc
	model     *resident
	tokenTime time.Duration
	cutAfter  int
}

func (engine *Engine) handleGenerate(ctx *fasthttp.RequestCtx) {
	job, status, message := engine.newJob(ctx)
	if job == nil {
		ctx.Error(message, status)
		return
	}
	if job.request.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.Response.ImmediateHeaderFlush = true
		ctx.SetBodyStreamWriter(func(writer *bufio.Writer) { engine.stream(job, writer) })
		return
	}
	engine.unary(job, ctx)
}

func (engine *Engine) newJob(ctx *fasthttp.RequestCtx) (*job, int, string) {
	var request generation
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		return nil, fasthttp.StatusBadRequest, err.Error()
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	resume, _ := strconv.Atoi(string(ctx.Request.Header.Peek("Resume-From")))
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if len(engine.headers) < keptHeaders {
		engine.headers = append(engine.headers, ctx.Request.String())
	}
	if engine.faults.Refuse {
		return nil, fasthttp.StatusServiceUnavailable, "the engine refuses work"
	}
	model := engine.resident[request.Model]
	if model == nil || model.State != stateReady {
		return nil, fasthttp.StatusNotFound, "the model is not resident"
	}
	model.users++
	engine.served++
	background, cancel := context.WithCancel(context.Background())
	job := &job{
		ctx: background, cancel: cancel, request: request, prompt: request.text(), resume: resume,
		chat: strings.Contains(string(ctx.Path()), "chat"), id: string(ctx.Request.Header.Peek("Request-Id")),
		model: model, tokenTime: engine.profile.TokenTime, cutAfter: engine.faults.CutAfter,
	}
	engine.cancels[job.id] = cancel
	return job, 0, ""
}

// enter waits for a place in the batch and for the prompt to be prefilled.
func (engine *Engine) enter(job *job) bool {
	engine.count(0, 1)
	select {
	case engine.slots <- struct{}{}:
	case <-job.ctx.Done():
		engine.count(0, -1)
		return false
	}
	engine.count(1, -1)
	engine.mu.Lock()
	fresh := engine.cache.use(job.request.Model, job.prompt)
	engine.mu.Unlock()
	pause(job.ctx, engine.profile.PrefillTime*time.Duration(fresh+job.resume)/1000)
	return true
}

func (engine *Engine) count(running, waiting int) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.running += running
	engine.waiting += waiting
}

func (engine *Engine) leave(job *job, entered bool) {
	if entered {
		<-engine.slots
		engine.count(-1, 0)
	}
	job.cancel()
	engine.mu.Lock()
	defer engine.mu.Unlock()
	delete(engine.cancels, job.id)
	job.model.users--
	engine.dropUnused(job.model)
}

func pause(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (engine *Engine) stream(job *job, writer *bufio.Writer) {
	entered := engine.enter(job)
	defer engine.leave(job, entered)
	for position := job.resume; position < job.request.MaxTokens; position++ {
		pause(job.ctx, job.tokenTime)
		if job.ctx.Err() != nil || job.cut(position) {
			return
		}
		engine.waitThaw()
		writeEvent(writer, job, position)
		if writer.Flush() != nil {
			return
		}
	}
	_, _ = writer.WriteString("data: [DONE]\n\n")
	_ = writer.Flush()
}

func (job *job) cut(position int) bool {
	return job.cutAfter > 0 && position-job.resume >= job.cutAfter
}

func (engine *Engine) waitThaw() {
	engine.mu.Lock()
	frozen, thaw := engine.faults.Frozen, engine.thaw
	engine.mu.Unlock()
	if frozen {
		<-thaw
	}
}

func writeEvent(writer *bufio.Writer, job *job, position int) {
	token := Token(job.request.Model, job.prompt, position)
	if job.chat {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: {\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
			position, job.request.Model, token)
		return
	}
	_, _ = fmt.Fprintf(writer, "id: %d\ndata: {\"object\":\"text_completion\",\"model\":%q,\"choices\":[{\"index\":0,\"text\":%q}]}\n\n",
		position, job.request.Model, token)
}

func (engine *Engine) unary(job *job, ctx *fasthttp.RequestCtx) {
	entered := engine.enter(job)
	defer engine.leave(job, entered)
	pause(job.ctx, job.tokenTime*time.Duration(job.request.MaxTokens))
	if job.ctx.Err() != nil {
		ctx.Error("the request was cancelled", fasthttp.StatusServiceUnavailable)
		return
	}
	engine.waitThaw()
	if job.cutAfter > 0 {
		_ = ctx.Conn().Close()
		return
	}
	text := Answer(job.request.Model, job.prompt, job.request.MaxTokens)
	choice := map[string]any{"index": 0, "finish_reason": "length", "text": text}
	object := "text_completion"
	if job.chat {
		choice = map[string]any{"index": 0, "finish_reason": "length", "message": map[string]any{"role": "assistant", "content": text}}
		object = "chat.completion"
	}
	data, err := json.Marshal(map[string]any{
		"id": job.id, "object": object, "model": job.request.Model, "choices": []any{choice},
		"usage": map[string]any{"prompt_tokens": len(job.prompt) / bytesPerToken, "completion_tokens": job.request.MaxTokens},
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
