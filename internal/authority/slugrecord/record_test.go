package slugrecord

import (
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"gotest.tools/v3/assert"
)

type plan struct {
	Stamp
	Count int `json:"count"`
}

// TestPredecessorWriteFails guards against a predecessor that overwrites the state of
// its successor.
func TestPredecessorWriteFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := slugstore.New(slugstore.Config{BaseURL: "http://platform", Do: slugplatform.New(slugplatform.Config{}).Link("a").Do})
		a, b := New[plan](s, "plans/test"), New[plan](s, "plans/test")
		_, err := a.Load(t.Context(), &sluglease.Grant{Fence: 1})
		assert.NilError(t, err)
		assert.NilError(t, a.Write(t.Context(), plan{a.NextStamp(), 1}))
		_, err = b.Load(t.Context(), &sluglease.Grant{Fence: 2})
		assert.NilError(t, err)
		assert.Equal(t, b.Value.Count, 1)
		assert.NilError(t, b.Write(t.Context(), plan{b.NextStamp(), 2}))
		err = a.Write(t.Context(), plan{a.NextStamp(), 3})
		assert.Assert(t, errors.Is(err, slugstore.ErrConflict), "%v", err)
		assert.Equal(t, a.Value.Count, 1)
	})
}
