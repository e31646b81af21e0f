// Package slugprefix computes the block hashes that identify prompt prefixes. They equal
// the hashes in the cache events of engines: each covers the prompt up to the end of a
// whole block, salted by workspace.
//
// # Usage
//
//	blocks := slugprefix.Hashes("workspace", prompt)
package slugprefix

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Hash identifies a prefix of a prompt.
type Hash = uint64

const (
	// BlockBytes is the length of a block in bytes.
	BlockBytes = 256
	// BytesPerToken is the assumed mean length of a token, for estimates.
	BytesPerToken = 4
	// BlockTokens is the estimated number of tokens in a block.
	BlockTokens = BlockBytes / BytesPerToken
)

// Hashes returns the hashes of the prefixes of a prompt, one for each whole block.
func Hashes(salt string, prompt []byte) []Hash {
	hashes := make([]Hash, 0, len(prompt)/BlockBytes)
	digest := xxhash.New()
	_, _ = digest.WriteString(salt + "\x00")
	for len(prompt) >= BlockBytes {
		_, _ = digest.Write(prompt[:BlockBytes])
		prompt = prompt[BlockBytes:]
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// Messages returns the messages of a chat in compact JSON, or nil if they cannot be decoded.
func Messages(raw json.RawMessage) []string {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return nil // A prompt is not a list.
	}
	out := make([]string, len(list))
	for i, m := range list {
		var b bytes.Buffer
		if json.Compact(&b, m) != nil {
			return nil
		}
		out[i] = b.String()
	}
	return out
}
