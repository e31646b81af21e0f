// Package slugknownfailures skips tests that are known to fail because of an open defect.
// KNOWN-RED.txt at the root of the repository lists them.
//
// # Usage
//
//	func TestPromiseX(t *testing.T) {
//		slugknownfailures.Skip(t)
package slugknownfailures

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// FileName is the name of the list, which is at the root of the repository.
const FileName = "KNOWN-RED.txt"

// Failures maps the name of each test that is known to fail to the failure seen.
type Failures map[string]string

// Read parses a list. Each line holds a test name and the failure seen, separated by
// "|"; empty lines and lines that start with "#" are ignored.
func Read(path string) (Failures, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	failures := Failures{}
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, failure, _ := strings.Cut(line, "|")
		failures[strings.TrimSpace(name)] = strings.TrimSpace(failure)
	}
	return failures, scanner.Err()
}

// Skip skips the test if the list names it, with the listed failure as the reason.
// It fails the test if the list can't be read.
func Skip(t testing.TB) {
	t.Helper()
	failures, err := Read(findList())
	if err != nil {
		t.Fatalf("read %s: %s", FileName, err)
	}
	if failure, ok := failures[t.Name()]; ok {
		t.Skipf("known red: %s", failure)
	}
}

// findList returns the path of the list in the working directory or its nearest
// parent that has one.
func findList() string {
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
