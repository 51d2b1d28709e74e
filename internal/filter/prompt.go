package filter

import (
	"encoding/json"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/routing"
)

const (
	// bytesPerToken estimates prompt tokens.
	bytesPerToken = 4
	// defaultAnswerTokens is assumed when the caller sets no bound, maxAnswerTokens bounds what a caller can claim.
	defaultAnswerTokens = 256
	maxAnswerTokens     = 1 << 20
)

// completion is the part of a chat request that routing and queueing look at.
type completion struct {
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// inspectBody sets stream, cost and prefix. Bodies that it does not understand are passed on with a cost by size: judging
// them is the upstream's job.
func inspectBody(x *Exchange) {
	x.Cost = 1
	if x.Pool.Kind != config.KindModel {
		return
	}
	var request completion
	if err := json.Unmarshal(x.Body, &request); err != nil {
		x.Cost += len(x.Body)/bytesPerToken + defaultAnswerTokens
		return
	}
	answer := request.MaxTokens
	if answer <= 0 {
		answer = defaultAnswerTokens
	}
	x.Stream = request.Stream
	x.Cost += len(x.Body)/bytesPerToken + min(answer, maxAnswerTokens)
	x.PromptPrefix = request.prefix()
}

// PromptPrefix returns the leading part of the prompt in body, or nothing when body is no chat request.
func PromptPrefix(body []byte) []byte {
	var request completion
	if err := json.Unmarshal(body, &request); err != nil {
		return nil
	}
	return request.prefix()
}

func (c completion) prefix() []byte {
	prompt := c.Messages
	if len(prompt) == 0 {
		prompt = c.Prompt
	}
	return prompt[:min(len(prompt), routing.PrefixBytes)]
}
