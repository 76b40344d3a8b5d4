package engine

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Token costs of the stand-in tokenizer.
const (
	bytesPerToken    = 4
	tokensPerMessage = 4 // added by the chat template
)

// CountTokens returns the prompt tokens of messages.
func CountTokens(messages []Message) int64 {
	var count int64
	for _, m := range messages {
		count += int64(len(m.Content)+bytesPerToken-1)/bytesPerToken + tokensPerMessage
	}
	return count
}

// wantedLength lets a prompt choose the length of its answer.
var wantedLength = regexp.MustCompile(`\[tokens=(\d{1,6})\]`)

// Lengths of answers to prompts that choose none.
const (
	shortestAnswer = 8
	answerSpread   = 24
)

// Answer returns the tokens of the answer to a request, at most limit. It
// depends on nothing else, so that a caller can tell its own answer.
func Answer(model, adapter string, messages []Message, limit int) []string {
	h := xxhash.New()
	fmt.Fprintf(h, "%q %q %q", model, adapter, messages)
	mark := h.Sum64()
	length := shortestAnswer + int(mark%answerSpread)
	if match := wantedLength.FindStringSubmatch(contents(messages)); match != nil {
		length, _ = strconv.Atoi(match[1]) // the expression admits only digits
	}
	length = min(length, limit)
	tokens := make([]string, length)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%04x-%d ", uint16(mark>>(16*(i%4))), i)
	}
	return tokens
}

func contents(messages []Message) string {
	var all strings.Builder
	for _, m := range messages {
		all.WriteString(m.Content)
	}
	return all.String()
}
