// Package auth authenticates calls by their bearer tokens. Tokens are declared as
// SHA-256 hashes; several may be valid at once, so that they can be rotated
// without interruption. Tokens never appear in errors or logs.
package auth

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cobalttide/cobalttide/configuration"
	"github.com/cobalttide/cobalttide/domain"
)

// tokenBytes is the number of random bytes in a new token.
const tokenBytes = 24

// NewToken returns a random token and the hash to declare for it.
func NewToken() (token, hash string) {
	raw := make([]byte, tokenBytes)
	// crypto/rand.Read never returns an error: on failure it crashes the program.
	_, _ = rand.Read(raw)
	token = hex.EncodeToString(raw)
	return token, Hash(token)
}

// Hash returns the hex SHA-256 of a token.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Bearer returns the token of a request's Authorization header, or "".
func Bearer(h http.Header) string {
	token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(token)
}

// Matches reports whether one of the hashes is the token's. Each comparison takes
// constant time.
func Matches(token string, hashes []string) bool {
	if token == "" {
		return false
	}
	hash := []byte(Hash(token))
	found := 0
	for _, declared := range hashes {
		found |= subtle.ConstantTimeCompare(hash, []byte(declared))
	}
	return found == 1
}

// Account returns the client account that the token belongs to.
func Account(token string, d configuration.Declarations) (domain.AccountID, *domain.Refusal) {
	for id, account := range d.Accounts {
		if Matches(token, account.TokenHashes) {
			return id, nil
		}
	}
	return "", domain.Refuse(domain.ReasonUnauthenticated, "Authorization",
		"the bearer token is missing or belongs to no client account",
		"send \"Authorization: Bearer TOKEN\" with a token that is declared for your account")
}

// Operator returns a refusal unless the token is a declared operator's or has the
// bootstrap hash of the settings, which allows the first declarations to be
// applied.
func Operator(token string, d configuration.Declarations, bootstrap string) *domain.Refusal {
	hashes := append([]string{bootstrap}, d.OperatorTokenHashes...)
	if Matches(token, hashes) {
		return nil
	}
	return domain.Refuse(domain.ReasonUnauthenticated, "Authorization",
		"the bearer token is missing or is not an operator's",
		"send an operator's token; its hash is declared under operator_token_hashes")
}
