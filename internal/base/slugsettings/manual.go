package slugsettings

import (
	"fmt"
	"io"
	"strings"
)

// Manual writes the reference of all settings in Markdown to w.
func Manual(w io.Writer) {
	section := ""
	for _, s := range All() {
		if s.Section != section {
			section = s.Section
			_, _ = fmt.Fprintf(w, "\n## [%s]\n\n| key | default | allowed | purpose | changes | daemons | variable |\n| --- | --- | --- | --- | --- | --- | --- |\n", section)
		}
		_, _ = fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s | %s | `%s` |\n", s.Key, codeSpan(s.Default), s.Allowed, s.Purpose, s.Reload, s.daemons, s.Variable())
	}
}

func codeSpan(v string) string {
	if v == "" {
		return "none"
	}
	return "`" + v + "`"
}

// daemonNames lists the daemons and their names in the order of the manual.
var daemonNames = []struct {
	daemon Daemon
	name   string
}{{Gate, "gate"}, {Control, "control"}, {Host, "host"}}

// String returns the names of the daemons in the set, separated by commas.
func (d Daemon) String() string {
	var names []string
	for _, x := range daemonNames {
		if d&x.daemon != 0 {
			names = append(names, x.name)
		}
	}
	return strings.Join(names, ", ")
}

// ParseDaemon returns the daemon with the given name, or false if there is none.
func ParseDaemon(name string) (Daemon, bool) {
	for _, x := range daemonNames {
		if x.name == name {
			return x.daemon, true
		}
	}
	return 0, false
}
