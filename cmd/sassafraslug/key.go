package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// keyBytes is the number of random bytes of a new key.
const keyBytes = 24

// newKey is a new key with its entry for the manifest.
type newKey struct {
	Key      string           `json:"key"`
	Manifest slugmanifest.Key `json:"manifest"`
}

func addKey(t *tool) {
	c := t.app.Command("key", "Create API keys.")
	create := c.Command("new", "Create an API key. The key is printed only once; the manifest holds its hash.")
	label := create.Flag("label", "Label that identifies the key in reports.").Default("key").String()
	t.register(create, func(context.Context) error { return t.newKey(*label) })
}

func (t *tool) newKey(label string) error {
	b := make([]byte, keyBytes)
	if _, err := rand.Read(b); err != nil {
		return err
	}
	key := "slug-key-" + base64.RawURLEncoding.EncodeToString(b)
	sum := sha256.Sum256([]byte(key))
	x := newKey{key, slugmanifest.Key{Label: label, SHA256: hex.EncodeToString(sum[:])}}
	return t.print(x, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "key:      %s\nmanifest: {\"label\": %q, \"sha256\": %q}\n", x.Key, x.Manifest.Label, x.Manifest.SHA256)
	})
}
