// This file owns the hidden command that the scale measurements start: one trial a process, so that its memory and its
// processor time are its own.

package main

import (
	"github.com/spf13/cobra"

	"thymechute/internal/lab/scale/members"
	"thymechute/internal/lab/scale/raftlog"
)

func scaleLog() *cobra.Command {
	return &cobra.Command{Use: raftlog.ChildCommand, Hidden: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		return raftlog.Child(c.Context(), c.InOrStdin(), c.OutOrStdout())
	}}
}

func scaleMembers() *cobra.Command {
	return &cobra.Command{Use: members.ChildCommand, Hidden: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		return members.RunChild(c.Context(), c.InOrStdin(), c.OutOrStdout(), c.ErrOrStderr())
	}}
}
