package slugsettings

import (
	"fmt"
	"io"
)

// Manual writes the manual of all settings in Markdown.
func Manual(w io.Writer) {
	section := ""
	for _, s := range All() {
		if s.Section != section {
			section = s.Section
			_, _ = fmt.Fprintf(w, "\n## [%s]\n\n| key | default | allowed | purpose | daemons | variable |\n| --- | --- | --- | --- | --- | --- |\n", section)
		}
		_, _ = fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s | `%s` |\n", s.Key, code(s.Default), s.Allowed, s.Purpose, s.daemons, s.Variable())
	}
}

func code(v string) string {
	if v == "" {
		return "none"
	}
	return "`" + v + "`"
}

// String returns the names of the daemons.
func (d Daemon) String() string {
	switch d {
	case Gate:
		return "gate"
	case Control:
		return "control"
	default:
		return "gate, control"
	}
}
