// Command berylward serves language model prompts of widely varying length.
package main

import (
	"os"

	"berylward.example/berylward/internal/command"
)

func main() {
	if err := command.New().Execute(); err != nil {
		os.Exit(command.ExitStatus(err))
	}
}
