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
	daemon := show.Flag("daemon", "gate, control or host.").Default("gate").Enum("gate", "control", "host")
	t.command(show, func(context.Context) error { return t.showSettings(*file, *daemon) })
	check := c.Command("check", "Check a settings file and name every missing or wrong value.")
	checked := check.Arg("file", "INI file.").Required().String()
	of := check.Flag("daemon", "gate, control or host.").Default("host").Enum("gate", "control", "host")
	t.command(check, func(context.Context) error { return t.checkSettings(*checked, *of) })
	t.command(c.Command("manual", "Print the manual of all settings in Markdown."), func(context.Context) error {
		slugsettings.Manual(t.out)
		return nil
	})
}

// loadSettings reads a file as one of the daemons does.
func loadSettings(file, daemon string) (*slugsettings.Loader, error) {
	d, _ := slugsettings.ParseDaemon(daemon)
	l := slugsettings.New(d)
	if _, err := l.Load(file); err != nil {
		return nil, &status{exitRefused, err}
	}
	return l, nil
}

func (t *tool) checkSettings(file, daemon string) error {
	l, err := loadSettings(file, daemon)
	if err != nil {
		return err
	}
	n := len(l.Effective())
	return t.show(map[string]int{"settings": n}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: %d settings of the %s daemon are right\n", file, n, daemon)
	})
}

func (t *tool) showSettings(file, daemon string) error {
	l, err := loadSettings(file, daemon)
	if err != nil {
		return err
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
