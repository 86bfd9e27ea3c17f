package main

import (
	"github.com/spf13/cobra"

	"thymechute/internal/lab/scale/members"
	"thymechute/internal/lab/scale/raftlog"
)

// scaleLogCommand returns the hidden command that runs the replicas of one process in a trial of the replicated log. A separate
// process is needed because memory and CPU time are measured per process.
func scaleLogCommand() *cobra.Command {
	return &cobra.Command{Use: raftlog.ChildCommand, Hidden: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		return raftlog.RunChild(c.Context(), c.InOrStdin(), c.OutOrStdout())
	}}
}

// scaleMembersCommand returns the hidden command that runs one trial of membership in a separate process, for the same reason.
func scaleMembersCommand() *cobra.Command {
	return &cobra.Command{Use: members.ChildCommand, Hidden: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		return members.RunChild(c.Context(), c.InOrStdin(), c.OutOrStdout(), c.ErrOrStderr())
	}}
}
