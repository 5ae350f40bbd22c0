package ctl

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"
)

const configHistoryHelp = `List the publications that the log still holds, with their verdicts.

The verdict not-judged is shown for publications before the oldest usable
checkpoint: it depends on records that the log has dropped.

The exit code is 3 if the log service was unreachable.`

// configHistory holds the flags of the command config history.
type configHistory struct {
	app   *app
	log   logFlags
	limit int
}

func (a *app) configHistoryCommand() *cobra.Command {
	c := &configHistory{app: a}
	command := &cobra.Command{
		Use:   "history --log-service URL",
		Short: "List publications and their verdicts",
		Long:  configHistoryHelp,
		Args:  cobra.NoArgs,
		RunE:  a.runE(c.run),
	}
	c.log.register(command.Flags())
	command.Flags().IntVar(&c.limit, "limit", 0, "show only the newest publications (default all)")
	return command
}

// historyResult is the JSON output of config history.
type historyResult struct {
	Version      uint64          `json:"version"` // version in force
	Publications []*historyEntry `json:"publications"`
}

func (c *configHistory) run(ctx context.Context) error {
	if c.limit < 0 {
		return &FlagError{"--limit", fmt.Sprintf("is %d, must not be negative", c.limit)}
	}
	ctx, session, err := c.log.open(ctx)
	if err != nil {
		return err
	}
	defer session.close()
	h, err := session.history(ctx)
	if err != nil {
		return err
	}
	list := h.list()
	if c.limit > 0 {
		list = list[max(0, len(list)-c.limit):]
	}
	if c.app.output == outputJSON {
		return printJSON(c.app.streams.Out, historyResult{Version: h.state().Version, Publications: list})
	}
	rows := [][]string{{"OFFSET", "ID", "BASE", "VERDICT", "VERSION", "CHANGES", "DETAIL"}}
	for _, e := range list {
		rows = append(rows, []string{
			strconv.FormatUint(e.Offset, 10), e.ID, strconv.FormatUint(e.Base, 10), e.Verdict,
			strconv.FormatUint(e.Version, 10), strconv.Itoa(len(e.Changes)), e.summary(),
		})
	}
	return printTable(c.app.streams.Out, rows)
}

// summary describes what a publication changed, or why it was rejected.
func (e *historyEntry) summary() string {
	switch {
	case e.Detail != "":
		return e.Detail
	case len(e.Changes) == 0:
		return ""
	case len(e.Changes) == 1:
		return e.Changes[0].String()
	default:
		return fmt.Sprintf("%s, and %d more", e.Changes[0], len(e.Changes)-1)
	}
}
