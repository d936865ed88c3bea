package command

import (
	"encoding"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"github.com/spf13/viper"
)

// envPrefix is the prefix of all environment variables: the flag peer-key can be set with BERYLWARD_PEER_KEY.
const envPrefix = "BERYLWARD"

// InvalidSetting describes one setting with an invalid value.
type InvalidSetting struct {
	// Setting is the name of the flag, without leading dashes.
	Setting string
	Value   string
	// Expected describes the accepted values.
	Expected string
}

// SettingsError lists all settings with invalid values, so that the operator can correct them in one pass.
type SettingsError struct{ Problems []InvalidSetting }

// Error implements error.
func (e *SettingsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d invalid setting(s):", len(e.Problems))
	for _, p := range e.Problems {
		fmt.Fprintf(&b, "\n  --%s (%s): %q; expected %s", p.Setting, envName(p.Setting), p.Value, p.Expected)
	}
	return b.String()
}

func envName(flag string) string {
	return envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// flagValue implements pflag.Value. Set stores an invalid input for validate instead of returning an error, so that
// parsing does not stop at the first invalid setting.
type flagValue struct {
	parse    func(string) error
	format   func() string
	expected string
	invalid  *string
}

func (v *flagValue) String() string {
	if v.format == nil {
		return ""
	}
	return v.format()
}

func (v *flagValue) Type() string { return v.expected }

func (v *flagValue) Set(s string) error {
	v.invalid = nil
	if err := v.parse(s); err != nil {
		v.invalid = &s
	}
	return nil
}

// settings defines the flags of one command and validates them together.
type settings struct {
	flags  *pflag.FlagSet
	checks []func() *InvalidSetting
}

// newSettings returns the settings of a command. They are validated before the command runs.
func newSettings(cmd *cobra.Command) *settings {
	s := &settings{flags: cmd.Flags()}
	cmd.PreRunE = func(*cobra.Command, []string) error { return s.validate() }
	return s
}

func (s *settings) addFlag(v *flagValue, name, usage string) {
	flag := s.flags.VarPF(v, name, "", usage+" ["+envName(name)+"]")
	if v.expected == "a boolean" {
		flag.NoOptDefVal = "true"
	}
}

// textVar defines a setting of a type that implements encoding.TextUnmarshaler, such as netip.AddrPort.
func (s *settings) textVar(target interface {
	encoding.TextUnmarshaler
	fmt.Stringer
}, name, expected, usage string) {
	s.addFlag(&flagValue{
		parse: func(in string) error { return target.UnmarshalText([]byte(in)) },
		format: func() string {
			// The zero AddrPort is shown as an empty value, also in the help text.
			if text := target.String(); text != "invalid AddrPort" {
				return text
			}
			return ""
		},
		expected: expected,
	}, name, usage)
}

func (s *settings) durationVar(target *time.Duration, name, usage string) {
	s.addFlag(&flagValue{
		parse: func(in string) error {
			d, err := time.ParseDuration(in)
			if err == nil && d < 0 {
				return strconv.ErrRange
			}
			*target = d
			return err
		},
		format:   func() string { return target.String() },
		expected: "a duration such as 500ms or 2m",
	}, name, usage)
}

func (s *settings) intVar(target *int, name, usage string) {
	s.addFlag(&flagValue{
		parse: func(in string) error {
			n, err := strconv.Atoi(in)
			if err == nil && n < 0 {
				return strconv.ErrRange
			}
			*target = n
			return err
		},
		format:   func() string { return strconv.Itoa(*target) },
		expected: "a whole number from 0",
	}, name, usage)
}

func (s *settings) boolVar(target *bool, name, usage string) {
	s.addFlag(&flagValue{
		parse:    func(in string) (err error) { *target, err = strconv.ParseBool(in); return err },
		format:   func() string { return strconv.FormatBool(*target) },
		expected: "a boolean",
	}, name, usage)
}

func (s *settings) stringVar(target *string, name, expected, usage string) {
	s.addFlag(&flagValue{
		parse:    func(in string) error { *target = in; return nil },
		format:   func() string { return *target },
		expected: expected,
	}, name, usage)
}

func (s *settings) enumVar(target *string, allowed []string, name, usage string) {
	s.addFlag(&flagValue{
		parse: func(in string) error {
			for _, a := range allowed {
				if a == in {
					*target = in
					return nil
				}
			}
			return strconv.ErrSyntax
		},
		format:   func() string { return *target },
		expected: "one of " + strings.Join(allowed, ", "),
	}, name, usage)
}

// require makes a non-empty value of the setting mandatory.
func (s *settings) require(name string) {
	s.checks = append(s.checks, func() *InvalidSetting {
		flag := s.flags.Lookup(name)
		if v, ok := flag.Value.(*flagValue); ok && v.invalid == nil && v.String() == "" {
			return &InvalidSetting{Setting: name, Value: "", Expected: v.expected + " (required)"}
		}
		return nil
	})
}

// validate sets each setting that has no flag on the command line from its environment variable. It returns a
// SettingsError that lists all invalid settings, or nil.
func (s *settings) validate() error {
	v := viper.New()
	v.SetEnvPrefix(envPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	var problems []InvalidSetting
	s.flags.VisitAll(func(flag *pflag.Flag) {
		setting, ok := flag.Value.(*flagValue)
		if !ok {
			return
		}
		if !flag.Changed && v.IsSet(flag.Name) {
			_ = setting.Set(v.GetString(flag.Name))
		}
		if setting.invalid != nil {
			problems = append(problems, InvalidSetting{Setting: flag.Name, Value: *setting.invalid, Expected: setting.expected})
		}
	})
	for _, check := range s.checks {
		if p := check(); p != nil {
			problems = append(problems, *p)
		}
	}
	if len(problems) > 0 {
		return &SettingsError{Problems: problems}
	}
	return nil
}
