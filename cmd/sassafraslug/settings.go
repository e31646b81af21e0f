package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
)

// effectiveSetting is a setting as the command settings show prints it.
type effectiveSetting struct {
	Name    string `json:"name"`
	Value   string `json:"value"`
	Origin  string `json:"origin"`
	Purpose string `json:"purpose"`
}

func addSettings(t *tool) {
	c := t.app.Command("settings", "Check and show the settings of the daemons.")
	show := c.Command("show", "Print the effective settings and the origin of each.")
	file := show.Arg("file", "Settings file in INI format.").String()
	daemon := show.Flag("daemon", "gate, control or host.").Default("gate").Enum("gate", "control", "host")
	t.register(show, func(context.Context) error { return t.showSettings(*file, *daemon) })
	check := c.Command("check", "Check a settings file and list all missing or invalid values.")
	checkFile := check.Arg("file", "Settings file in INI format.").Required().String()
	checkDaemon := check.Flag("daemon", "gate, control or host.").Default("host").Enum("gate", "control", "host")
	t.register(check, func(context.Context) error { return t.checkSettings(*checkFile, *checkDaemon) })
	t.register(c.Command("manual", "Print the reference of all settings in Markdown."), func(context.Context) error {
		slugsettings.Manual(t.out)
		return nil
	})
}

// loadSettings loads a settings file in the same way as the given daemon.
func loadSettings(file, daemon string) (*slugsettings.Loader, error) {
	d, _ := slugsettings.ParseDaemon(daemon)
	l := slugsettings.New(d)
	if _, err := l.Load(file); err != nil {
		return nil, &exitError{exitRefused, err}
	}
	return l, nil
}

func (t *tool) checkSettings(file, daemon string) error {
	l, err := loadSettings(file, daemon)
	if err != nil {
		return err
	}
	n := len(l.Effective())
	return t.print(map[string]int{"settings": n}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: all %d settings of the %s daemon are valid\n", file, n, daemon)
	})
}

func (t *tool) showSettings(file, daemon string) error {
	l, err := loadSettings(file, daemon)
	if err != nil {
		return err
	}
	var list []effectiveSetting
	for _, e := range l.Effective() {
		list = append(list, effectiveSetting{e.Name(), e.Value, e.Origin, e.Purpose})
	}
	return t.print(list, func(w io.Writer) {
		tab := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
		_, _ = fmt.Fprintln(tab, "SETTING\tVALUE\tORIGIN")
		for _, e := range list {
			_, _ = fmt.Fprintf(tab, "%s\t%s\t%s\n", e.Name, e.Value, e.Origin)
		}
		_ = tab.Flush()
	})
}
