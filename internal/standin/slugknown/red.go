// Package slugknown skips the tests that are known to fail for a fault which is not
// yet mended. KNOWN-RED.txt at the root lists them.
//
// # Usage
//
//	func TestPromiseX(t *testing.T) {
//		slugknown.Skip(t)
package slugknown

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// FileName is the list at the root of the repository.
const FileName = "KNOWN-RED.txt"

// Red is the list of tests that are known to fail.
type Red map[string]string

// Read returns the tests that a list names, with what was seen.
func Read(path string) (Red, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	red := Red{}
	s := bufio.NewScanner(f)
	for s.Scan() {
		line := strings.TrimSpace(s.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, seen, _ := strings.Cut(line, "|")
		red[strings.TrimSpace(name)] = strings.TrimSpace(seen)
	}
	return red, s.Err()
}

// Skip skips a test that the list names, and says so.
func Skip(t testing.TB) {
	t.Helper()
	red, err := Read(find())
	if err != nil {
		t.Fatalf("read %s: %s", FileName, err)
	}
	if seen, ok := red[t.Name()]; ok {
		t.Skipf("known red: %s", seen)
	}
}

// find looks for the list in this folder and those above.
func find() string {
	dir, err := os.Getwd()
	for err == nil {
		path := filepath.Join(dir, FileName)
		if _, statErr := os.Stat(path); statErr == nil || dir == filepath.Dir(dir) {
			return path
		}
		dir = filepath.Dir(dir)
	}
	return FileName
}
