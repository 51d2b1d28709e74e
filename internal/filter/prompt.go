package filter

import (
	"encoding/json"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/routing"
)

const (
	// bytesPerToken is used to estimate the number of prompt tokens from the size of the body.
	bytesPerToken = 4
	// defaultOutputTokens is assumed when the request does not set max_tokens. maxOutputTokens bounds the part of the cost that
	// max_tokens determines.
	defaultOutputTokens = 256
	maxOutputTokens     = 1 << 20
)

// chatRequest holds the fields of a chat request that routing and queueing use.
type chatRequest struct {
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// inspectBody sets Stream, Cost and PromptPrefix. A request to a service costs 1. A body that cannot be decoded is still passed on,
// with a cost estimated from its size, because validating it is up to the upstream.
func inspectBody(x *Exchange) {
	x.Cost = 1
	if x.Pool.Kind != config.KindModel {
		return
	}
	var request chatRequest
	if err := json.Unmarshal(x.Body, &request); err != nil {
		x.Cost += len(x.Body)/bytesPerToken + defaultOutputTokens
		return
	}
	outputTokens := request.MaxTokens
	if outputTokens <= 0 {
		outputTokens = defaultOutputTokens
	}
	x.Stream = request.Stream
	x.Cost += len(x.Body)/bytesPerToken + min(outputTokens, maxOutputTokens)
	x.PromptPrefix = request.promptPrefix()
}

// PromptPrefix returns the start of the prompt in body, at most routing.PrefixBytes bytes, or nil if body is not a chat request.
func PromptPrefix(body []byte) []byte {
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil
	}
	return request.promptPrefix()
}

// promptPrefix returns at most routing.PrefixBytes bytes of the encoded messages, or of the prompt if there are no messages.
func (r chatRequest) promptPrefix() []byte {
	prompt := r.Messages
	if len(prompt) == 0 {
		prompt = r.Prompt
	}
	return prompt[:min(len(prompt), routing.PrefixBytes)]
}
