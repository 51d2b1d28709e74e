package fake

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	defaultMaxTokens = 16
	maxTokensLimit   = 1 << 16
)

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of the OpenAI form that the engine reads.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
}

// ChatChoice is one choice of an answer: Message is set in a whole answer, Delta in an event.
type ChatChoice struct {
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

// ChatAnswer is a whole answer or one event of a stream.
type ChatAnswer struct {
	Object  string       `json:"object"`
	Choices []ChatChoice `json:"choices"`
}

// Prompt joins the messages of a chat.
func (c ChatRequest) Prompt() string {
	parts := make([]string, 0, len(c.Messages))
	for _, message := range c.Messages {
		parts = append(parts, message.Content)
	}
	return strings.Join(parts, "\n")
}

// EchoText is the start of the answer's text: it identifies the prompt that was answered.
func EchoText(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return "echo=" + hex.EncodeToString(sum[:]) + " "
}

// CheckText checks that text is a whole answer to prompt, and returns the short versions that its tokens carry.
func CheckText(text, prompt string, tokens int) (map[string]int, error) {
	rest, ok := strings.CutPrefix(text, EchoText(prompt))
	if !ok {
		return nil, fmt.Errorf("answer to another prompt: %.80q", text)
	}
	versions, count := make(map[string]int), 0
	for token := range strings.FieldsSeq(rest) {
		versions[token]++
		count++
	}
	if count != tokens {
		return versions, fmt.Errorf("answer has %d tokens, want %d", count, tokens)
	}
	return versions, nil
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var request ChatRequest
	if err != nil || json.Unmarshal(body, &request) != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	e.mu.Lock()
	loaded, version := e.status.LoadedVersion, e.status.LoadedVersion
	if e.status.PendingVersion != "" && e.servingVersion() == ShortVersion(e.status.PendingVersion) {
		version = e.status.PendingVersion
	}
	e.mu.Unlock()
	if loaded == "" {
		http.Error(w, "no version is loaded", http.StatusServiceUnavailable)
		return
	}
	entry := e.config.Journal.start(r, body, version)
	if bytes.Contains(body, []byte(CrashMarker)) {
		e.config.Exit(crashExitCode)
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority")) // A missing or malformed value is the most urgent.
	g := e.submit(priority, request.Prompt(), min(request.MaxTokens, maxTokensLimit))
	defer e.cancel(g)
	w.Header().Set("X-Model-Version", version)
	answer := e.answerWhole
	if request.Stream {
		answer = e.answerStream
	}
	completed := answer(r.Context(), w, g)
	e.config.Journal.finish(entry, completed, !completed)
}

// nextToken waits for a token. more is false after the last one, ok is false when the caller has disconnected.
func (e *Engine) nextToken(ctx context.Context, g *generation) (token string, more, ok bool) {
	select {
	case token, more = <-g.tokens:
		return token, more, true
	case <-ctx.Done():
		return "", false, false
	}
}

func (e *Engine) answerWhole(ctx context.Context, w http.ResponseWriter, g *generation) bool {
	text := EchoText(g.prompt)
	for {
		token, more, ok := e.nextToken(ctx, g)
		if !ok {
			return false
		}
		if !more {
			break
		}
		text += token
	}
	writeJSON(w, http.StatusOK, ChatAnswer{Object: "chat.completion", Choices: []ChatChoice{
		{Message: &ChatMessage{Role: "assistant", Content: text}, FinishReason: "stop"},
	}})
	return true
}

func (e *Engine) answerStream(ctx context.Context, w http.ResponseWriter, g *generation) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	echo := EchoText(g.prompt)
	for {
		token, more, ok := e.nextToken(ctx, g)
		if !ok {
			return false
		}
		if !more {
			_, err := io.WriteString(w, "data: [DONE]\n\n")
			return err == nil
		}
		event, err := json.Marshal(ChatAnswer{Object: "chat.completion.chunk", Choices: []ChatChoice{
			{Delta: &ChatMessage{Role: "assistant", Content: echo + token}},
		}})
		if err != nil {
			return false
		}
		echo = ""
		if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil {
			return false
		}
		if http.NewResponseController(w).Flush() != nil {
			return false
		}
	}
}
