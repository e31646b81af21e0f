// Package slugprefix names the prefixes of prompts as engines name them in their
// cache events: by the hashes of whole blocks, salted by workspace.
//
// # Usage
//
//	blocks := slugprefix.Hashes("workspace", prompt)
package slugprefix

import "github.com/cespare/xxhash/v2"

// Hash names a prefix.
type Hash = uint64

const (
	// BlockBytes is the length of a block.
	BlockBytes = 256
	// BytesPerToken is the mean length of a token, for estimates.
	BytesPerToken = 4
	// BlockTokens is the estimated number of tokens in a block.
	BlockTokens = BlockBytes / BytesPerToken
)

// Hashes returns the hashes of a prompt's prefixes, one a whole block.
func Hashes(salt string, prompt []byte) []Hash {
	hashes := make([]Hash, 0, len(prompt)/BlockBytes)
	d := xxhash.New()
	_, _ = d.WriteString(salt + "\x00")
	for len(prompt) >= BlockBytes {
		_, _ = d.Write(prompt[:BlockBytes])
		prompt = prompt[BlockBytes:]
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
