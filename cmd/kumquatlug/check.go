package main

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/settings"
)

// checkableSettings are the settings of a command that can be validated without
// running it.
type checkableSettings interface {
	bind(flags *pflag.FlagSet)
	check(problems settings.Problems) settings.Problems
}

func newCheckCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "check", Short: "Report all invalid settings of a process without running it"}
	cmd.AddCommand(newCheckProcessCommand("entry", &entrySettings{}), newCheckProcessCommand("agent", &agentSettings{}),
		newCheckProcessCommand("front", &frontSettings{}))
	return cmd
}

func newCheckProcessCommand(name string, s checkableSettings) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     name,
		Short:   "Check the settings of the command " + name,
		Args:    cobra.NoArgs,
		Example: "  kumquatlug check " + name + " --env-file " + name + ".env",
	}
	s.bind(cmd.Flags())
	cmd.Flags().StringVar(&file, "env-file", "", "file with environment variables, one NAME=value per line")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if file != "" {
			if err := loadEnvFile(file); err != nil {
				return err
			}
		}
		if err := s.check(settings.FromEnvironment(cmd.Flags())).Err(); err != nil {
			return err
		}
		_, err := fmt.Fprintln(cmd.OutOrStdout(), "all settings are good")
		return err
	}
	return cmd
}

// loadEnvFile sets the environment variables given in a file. Lines that start
// with # are comments.
func loadEnvFile(file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "environment file")
	}
	lines := bufio.NewScanner(bytes.NewReader(content))
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, value, ok := strings.Cut(line, "=")
		if !ok {
			return errors.Newf("environment file: %q is not NAME=value", line)
		}
		if err := os.Setenv(name, value); err != nil {
			return errors.Wrap(err, "environment file")
		}
	}
	return errors.Wrap(lines.Err(), "environment file")
}

func newCertsCommand() *cobra.Command {
	var out string
	var days int
	cmd := &cobra.Command{
		Use:   "certs",
		Short: "Create a certificate authority and the certificates of gateways and agents",
		Long: `Create a certificate authority and the certificates of gateways and agents, for
sites that have no certificate authority of their own. The authority's private key
is not stored: to replace a certificate, create all of them again.`,
		Args:    cobra.NoArgs,
		Example: "  kumquatlug certs --out keys --days 365",
	}
	cmd.Flags().StringVar(&out, "out", "keys", "directory to write to")
	cmd.Flags().IntVar(&days, "days", 365, "validity of the certificates, in days")
	cmd.RunE = func(_ *cobra.Command, _ []string) error {
		const hoursADay = 24
		return writeCerts(out, time.Duration(days)*hoursADay*time.Hour)
	}
	return cmd
}

func writeCerts(folder string, validity time.Duration) error {
	const (
		folderMode = 0o700
		fileMode   = 0o600
	)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create the output directory")
	}
	authority, err := peer.NewAuthority(validity)
	if err != nil {
		return err
	}
	files := map[string][]byte{"ca.pem": authority.PEM()}
	for _, role := range []peer.Role{peer.RoleGateway, peer.RoleAgent} {
		certificate, key, err := authority.Issue(role)
		if err != nil {
			return err
		}
		files[string(role)+".pem"], files[string(role)+".key"] = certificate, key
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(folder, name), content, fileMode); err != nil {
			return errors.Wrap(err, "write certificates")
		}
	}
	return nil
}
