package ctl

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/config"
)

// setModelValue sets one field of a model in a configuration text and keeps all other bytes. literal is the value as TOML.
func setModelValue(text, model, field, literal string) (string, error) {
	cfg, err := config.Parse(text)
	if err != nil {
		return "", err
	}
	index := slices.IndexFunc(cfg.Models, func(m config.Model) bool { return m.Name == model })
	if index < 0 {
		return "", refusedError(errors.Newf("the configuration in force has no model %q", model))
	}
	positions := config.IndexPositions(text)
	table := fmt.Sprintf("model[%d]", index)
	edited := ""
	if span, ok := positions.Span(table + "." + field); ok {
		edited = text[:span.Offset] + literal + text[span.Offset+span.Length:]
	} else if span, ok := positions.Span(table + ".name"); ok {
		end := lineEnd(text, span.Offset+span.Length)
		edited = text[:end] + "\n" + field + " = " + literal + text[end:]
	} else {
		return "", refusedError(errors.Newf("model %q is not written as a [[model]] table, edit the text and submit it", model))
	}
	return edited, checkOnlyChange(text, edited, "model", model, field)
}

// addDrain appends a [[drain]] table for the agent, unless the text has one.
func addDrain(text, agent string) (string, error) {
	if !config.ValidName(agent) {
		return "", usageError("-agent %q is not a valid agent ID", agent)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		return "", err
	}
	if drainIndex(cfg, agent) >= 0 {
		return text, nil
	}
	edited := strings.TrimRight(text, "\n") + "\n\n[[drain]]\nagent = \"" + agent + "\"\n"
	return edited, checkOnlyChange(text, edited, "drain", agent, "")
}

// removeDrain removes the lines of the agent's [[drain]] table, if the text has one.
func removeDrain(text, agent string) (string, error) {
	cfg, err := config.Parse(text)
	if err != nil {
		return "", err
	}
	index := drainIndex(cfg, agent)
	if index < 0 {
		return text, nil
	}
	positions := config.IndexPositions(text)
	table := fmt.Sprintf("drain[%d]", index)
	if !positions.Has(table + ".agent") {
		return "", refusedError(errors.Newf("the drain of %q is not written as a [[drain]] table, edit the text and submit it", agent))
	}
	first, last := positions.Line(table), positions.Line(table+".agent")
	lines := strings.SplitAfter(text, "\n")
	edited := strings.Join(slices.Delete(lines, first-1, last), "")
	return edited, checkOnlyChange(text, edited, "drain", agent, "")
}

// drainIndex returns the index of the agent's drain, or -1.
func drainIndex(cfg *config.Config, agent string) int {
	return slices.IndexFunc(cfg.Drains, func(d config.Drain) bool { return d.Agent == agent })
}

// checkOnlyChange returns an error when an edit changes anything but the named value. It guards against a layout that the
// edit does not handle.
func checkOnlyChange(before, after, kind, name, field string) error {
	old, err := config.Parse(before)
	if err != nil {
		return err
	}
	next, err := config.Parse(after)
	if err != nil {
		return err
	}
	for _, change := range config.Diff(old, next) {
		if change.Kind != kind || change.Name != name || change.Field != field {
			return refusedError(errors.Newf("the edit would also change %q, edit the text and submit it", change.String()))
		}
	}
	return nil
}

// lineEnd returns the offset at which the line that contains offset ends, before its line break.
func lineEnd(text string, offset int) int {
	if i := strings.IndexAny(text[offset:], "\r\n"); i >= 0 {
		return offset + i
	}
	return len(text)
}
