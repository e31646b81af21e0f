package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
)

// effective is one setting as settings show prints it.
type effective struct {
	Name    string `json:"name"`
	Value   string `json:"value"`
	Origin  string `json:"origin"`
	Purpose string `json:"purpose"`
}

func addSettings(t *tool) {
	c := t.app.Command("settings", "Look at the settings of the daemons.")
	show := c.Command("show", "Print the effective settings and where each comes from.")
	file := show.Arg("file", "INI file.").String()
	daemon := show.Flag("daemon", "gate or control.").Default("gate").Enum("gate", "control")
	t.command(show, func(context.Context) error { return t.showSettings(*file, *daemon) })
	t.command(c.Command("manual", "Print the manual of all settings in Markdown."), func(context.Context) error {
		slugsettings.Manual(t.out)
		return nil
	})
}

func (t *tool) showSettings(file, daemon string) error {
	d := slugsettings.Gate
	if daemon == "control" {
		d = slugsettings.Control
	}
	l := slugsettings.New(d)
	if _, err := l.Load(file); err != nil {
		return &status{exitRefused, err}
	}
	var list []effective
	for _, e := range l.Effective() {
		list = append(list, effective{e.Name(), e.Value, e.Origin, e.Purpose})
	}
	return t.show(list, func(w io.Writer) {
		tab := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
		_, _ = fmt.Fprintln(tab, "SETTING\tVALUE\tORIGIN")
		for _, e := range list {
			_, _ = fmt.Fprintf(tab, "%s\t%s\t%s\n", e.Name, e.Value, e.Origin)
		}
		_ = tab.Flush()
	})
}
