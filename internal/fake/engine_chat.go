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

// Default and upper bound of max_tokens. The bound also limits the capacity of generation.tokens.
const (
	defaultMaxTokens = 16
	maxTokensLimit   = 1 << 16
)

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of an OpenAI chat completion request that the engine reads.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
}

// ChatChoice is one choice of an answer. Message is set in a complete answer, Delta in an event of a stream.
type ChatChoice struct {
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

// ChatAnswer is a complete answer, with the Object "chat.completion", or one event of a stream, with "chat.completion.chunk".
type ChatAnswer struct {
	Object  string       `json:"object"`
	Choices []ChatChoice `json:"choices"`
}

// Prompt returns the contents of all messages, joined by newlines.
func (c ChatRequest) Prompt() string {
	parts := make([]string, 0, len(c.Messages))
	for _, message := range c.Messages {
		parts = append(parts, message.Content)
	}
	return strings.Join(parts, "\n")
}

// EchoText returns the start of the text of an answer. It contains a hash of the prompt, so that an answer can be matched to its
// prompt.
func EchoText(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return "echo=" + hex.EncodeToString(sum[:]) + " "
}

// CheckText checks that text is the complete answer to prompt, with wantTokens tokens. It returns how many tokens each
// short version generated.
func CheckText(text, prompt string, wantTokens int) (map[string]int, error) {
	rest, ok := strings.CutPrefix(text, EchoText(prompt))
	if !ok {
		return nil, fmt.Errorf("answer to another prompt: %.80q", text)
	}
	versions, count := make(map[string]int), 0
	for token := range strings.FieldsSeq(rest) {
		versions[token]++
		count++
	}
	if count != wantTokens {
		return versions, fmt.Errorf("answer has %d tokens, want %d", count, wantTokens)
	}
	return versions, nil
}

// handleChat generates the answer to a chat completion request. It answers 503 while no version is loaded, and ends the process
// when the body contains CrashMarker.
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
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority")) // A missing or malformed value counts as 0, the most urgent.
	g := e.submit(priority, request.Prompt(), min(request.MaxTokens, maxTokensLimit))
	defer e.cancel(g)
	w.Header().Set("X-Model-Version", version)
	writeAnswer := e.writeCompletion
	if request.Stream {
		writeAnswer = e.writeEventStream
	}
	completed := writeAnswer(r.Context(), w, g)
	e.config.Journal.finish(entry, completed, !completed)
}

// nextToken waits for the next token. more is false after the last token; ok is false when the caller has disconnected.
func (e *Engine) nextToken(ctx context.Context, g *generation) (token string, more, ok bool) {
	select {
	case token, more = <-g.tokens:
		return token, more, true
	case <-ctx.Done():
		return "", false, false
	}
}

// writeCompletion sends the answer as one JSON body. It returns false when the caller has disconnected.
func (e *Engine) writeCompletion(ctx context.Context, w http.ResponseWriter, g *generation) bool {
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

// writeEventStream sends each token as an event. It returns false when the caller has disconnected.
func (e *Engine) writeEventStream(ctx context.Context, w http.ResponseWriter, g *generation) bool {
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
