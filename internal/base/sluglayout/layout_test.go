package sluglayout

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const modulePath = "github.com/sassafraslug/sassafraslug/"

// areaOf returns the area of a path that starts with internal/.
func areaOf(path string) (Area, bool) {
	rest, ok := strings.CutPrefix(filepath.ToSlash(path), "internal/")
	if !ok {
		return "", false
	}
	return Area(strings.Split(rest, "/")[0]), true
}

// Guards against import rules that let a lower area depend on a higher one.
func TestAllowed(t *testing.T) {
	for _, c := range []struct {
		from, to Area
		want     bool
	}{
		{"request", "decision", true},
		{"decision", "request", false},
		{"decision", "decision", true},
		{"daemon", "standin", false},
		{"operate", "standin", true},
		{"standin", "daemon", true},
	} {
		assert.Equal(t, Allowed(c.from, c.to), c.want, "%s imports %s", c.from, c.to)
	}
}

// Guards against imports that break the order of the areas. It reads the imports of all
// files under internal/ except tests.
func TestImportsFollowAreaOrder(t *testing.T) {
	const root = "../../.."
	files := 0
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		rel, err := filepath.Rel(root, path)
		assert.NilError(t, err)
		from, _ := areaOf(rel)
		assert.Assert(t, Known(from), "%s is not in a known area", rel)
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		assert.NilError(t, err)
		for _, x := range f.Imports {
			name, _ := strconv.Unquote(x.Path.Value)
			to, ok := areaOf(strings.TrimPrefix(name, modulePath))
			if strings.HasPrefix(name, modulePath) && ok {
				assert.Check(t, Allowed(from, to), "%s imports %s", rel, name)
			}
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 50, "only %d files were checked", files)
}
