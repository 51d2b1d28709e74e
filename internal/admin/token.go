package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

// operatorToken holds the SHA-256 of an operator's token.
type operatorToken struct {
	operator string
	hash     []byte
}

// parseTokens decodes the token hashes. It skips those that are not a SHA-256 in hex, so that no token matches them. The validation
// of settings refuses them earlier.
func parseTokens(tokens map[string]string) []operatorToken {
	var parsed []operatorToken
	for operator, hexHash := range tokens {
		if hash, err := hex.DecodeString(hexHash); err == nil && len(hash) == sha256.Size {
			parsed = append(parsed, operatorToken{operator: operator, hash: hash})
		}
	}
	return parsed
}

// requireOperator returns a handler that calls next only for requests with a valid operator token.
func (h *handler) requireOperator(next func(w http.ResponseWriter, r *http.Request, operator string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := h.authenticate(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			h.writeError(w, ErrorDetail{Code: CodeUnauthenticated, Message: "an operator token is required: Authorization: Bearer <token>"})
			return
		}
		next(w, r, name)
	}
}

// authenticate returns the operator whose token the request carries. It compares with every token in constant time, so that the
// response time reveals neither a token nor its owner.
func (h *handler) authenticate(r *http.Request) (operator string, ok bool) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	for _, candidate := range h.tokens {
		if subtle.ConstantTimeCompare(sum[:], candidate.hash) == 1 {
			operator, ok = candidate.operator, true
		}
	}
	return operator, ok
}
