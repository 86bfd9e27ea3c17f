package main

import (
	"github.com/spf13/cobra"

	"thymechute/internal/lab/scale/members"
	"thymechute/internal/lab/scale/raftlog"
)

// scaleLogCommand is the hidden command that runs one trial of the agreed log: a process per trial, so that its memory and
// its CPU time are the trial's alone.
func scaleLogCommand() *cobra.Command {
	return &cobra.Command{Use: raftlog.ChildCommand, Hidden: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		return raftlog.Child(c.Context(), c.InOrStdin(), c.OutOrStdout())
	}}
}

// scaleMembersCommand is the hidden command that runs one trial of the members, likewise.
func scaleMembersCommand() *cobra.Command {
	return &cobra.Command{Use: members.ChildCommand, Hidden: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		return members.RunChild(c.Context(), c.InOrStdin(), c.OutOrStdout(), c.ErrOrStderr())
	}}
}
